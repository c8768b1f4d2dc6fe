//! Keys that authenticate frames.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Length of a key, in bytes.
const KEY_LEN: usize = 32;

/// Length of the tag at the end of a frame, in bytes.
pub(crate) const TAG_LEN: usize = 16;

/// Error in the keys of the settings.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum KeyError {
    /// The secret is not 64 hexadecimal digits.
    #[error("key {id}: the secret must be 64 hexadecimal digits")]
    Secret {
        /// Identity of the key.
        id: u8,
    },
    /// There is no key, or there are more than two.
    #[error("{0} keys are given, one or two are needed")]
    Count(usize),
    /// Two keys have the same identity.
    #[error("key identity {0} is used twice")]
    DuplicateId(u8),
}

/// Key as written in the settings.
#[derive(Clone, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Identity, which frames carry to select the key.
    pub id: u8,
    /// 32 bytes in hexadecimal.
    pub secret: String,
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Key")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

#[derive(Clone, Copy)]
struct Secret {
    id: u8,
    bytes: [u8; KEY_LEN],
}

/// Valid keys. The first one signs, all of them verify.
#[derive(Clone)]
pub struct Keyring {
    secrets: Vec<Secret>,
}

impl fmt::Debug for Keyring {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ids = self.secrets.iter().map(|secret| secret.id);
        f.debug_list().entries(ids).finish()
    }
}

impl Keyring {
    /// Creates a keyring from the keys of the settings.
    ///
    /// # Errors
    ///
    /// [`KeyError`] if there is no key or more than two, two keys have the same identity, or a
    /// secret is not 64 hexadecimal digits.
    pub fn new(keys: &[Key]) -> Result<Self, KeyError> {
        if !(1..=2).contains(&keys.len()) {
            return Err(KeyError::Count(keys.len()));
        }
        if keys.len() == 2 && keys[0].id == keys[1].id {
            return Err(KeyError::DuplicateId(keys[0].id));
        }
        let secrets = keys.iter().map(Secret::parse).collect::<Result<_, _>>()?;
        Ok(Self { secrets })
    }

    /// Identity of the signing key.
    pub(crate) fn signing_id(&self) -> u8 {
        self.secrets[0].id
    }

    /// Authentication tag of `bytes` under the signing key.
    pub(crate) fn sign(&self, bytes: &[u8]) -> [u8; TAG_LEN] {
        self.secrets[0].tag(bytes)
    }

    /// Whether `tag` is the tag of `bytes` under the key `id`. False if there is no such key.
    pub(crate) fn verify(&self, id: u8, bytes: &[u8], tag: &[u8]) -> bool {
        self.secrets
            .iter()
            .find(|secret| secret.id == id)
            .is_some_and(|secret| is_equal_in_constant_time(&secret.tag(bytes), tag))
    }
}

impl Secret {
    fn parse(key: &Key) -> Result<Self, KeyError> {
        let error = KeyError::Secret { id: key.id };
        let bytes = blake3::Hash::from_hex(&key.secret).map_err(|_| error)?;
        Ok(Self {
            id: key.id,
            bytes: *bytes.as_bytes(),
        })
    }

    fn tag(&self, bytes: &[u8]) -> [u8; TAG_LEN] {
        let hash = blake3::keyed_hash(&self.bytes, bytes);
        let mut tag = [0; TAG_LEN];
        tag.copy_from_slice(&hash.as_bytes()[..TAG_LEN]);
        tag
    }
}

fn is_equal_in_constant_time(a: &[u8; TAG_LEN], b: &[u8]) -> bool {
    if b.len() != TAG_LEN {
        return false;
    }
    a.iter().zip(b).fold(0, |diff, (a, b)| diff | (a ^ b)) == 0
}
