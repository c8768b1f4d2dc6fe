//! Identities that mean the same in every process.
//!
//! Names are hashed to 64 bits so that messages and tables carry a fixed-size `Copy` value. The
//! whole-set check of the configuration refuses two names that collide.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::hash;

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident, $seed:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, Eq, Hash, Ord, PartialEq, PartialOrd,
            Serialize, Deserialize,
        )]
        #[display("{_0:016x}")]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Identity of the thing that has this name.
            #[must_use]
            pub fn of(name: &str) -> Self {
                Self(hash::bytes(name.as_bytes(), $seed))
            }
        }
    };
}

name_id!(
    /// A target, and the agent beside it.
    TargetId,
    0x7461_7267
);
name_id!(
    /// The name under which a target announces itself. Mostly each of its starts has another one.
    InstanceId,
    0x696e_7374
);
name_id!(
    /// A balancer.
    BalancerId,
    0x6261_6c61
);
name_id!(
    /// A service.
    ServiceId,
    0x7365_7276
);
name_id!(
    /// A group of targets, the label that a target announces and pools select by.
    GroupId,
    0x6772_6f75
);
name_id!(
    /// A failure domain.
    DomainId,
    0x646f_6d61
);

impl TargetId {
    /// The part of the identity that fits a TCP timestamp, never zero.
    #[must_use]
    pub const fn hint(self) -> u32 {
        let folded = (self.0 ^ (self.0 >> 32)) & 0xffff_ffff;
        if folded == 0 { 1 } else { folded as u32 }
    }
}
