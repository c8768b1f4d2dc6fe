//! Identities that are the same in every process.
//!
//! Names are hashed to 64 bits so that messages and tables contain a fixed-size `Copy` value.
//! Validation of the whole configuration rejects two names whose hashes collide.

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
            /// Identity for a name.
            #[must_use]
            pub fn of(name: &str) -> Self {
                Self(hash::bytes(name.as_bytes(), $seed))
            }
        }
    };
}

name_id!(
    /// Identity of a target and its agent.
    TargetId,
    0x7461_7267
);
name_id!(
    /// Identity of a target's instance, from the name under which the target announces itself. The
    /// name usually differs with each start of the target.
    InstanceId,
    0x696e_7374
);
name_id!(
    /// Identity of a balancer.
    BalancerId,
    0x6261_6c61
);
name_id!(
    /// Identity of a service.
    ServiceId,
    0x7365_7276
);
name_id!(
    /// Identity of a group of targets, the label that targets announce and by which pools select
    /// them.
    GroupId,
    0x6772_6f75
);
name_id!(
    /// Identity of a failure domain.
    DomainId,
    0x646f_6d61
);

impl TargetId {
    /// 32-bit hint of the identity for a TCP timestamp. Never zero, because zero means no hint.
    #[must_use]
    pub const fn hint(self) -> u32 {
        let folded = (self.0 ^ (self.0 >> 32)) & 0xffff_ffff;
        if folded == 0 { 1 } else { folded as u32 }
    }
}
