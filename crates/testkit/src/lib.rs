//! Stand-ins for what surrounds the load balancer.

pub mod platform;
