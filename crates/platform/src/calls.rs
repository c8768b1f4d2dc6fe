//! Runs the calls of the publisher's state machine on a [`Client`].

use citronhollow_core::publisher::{Answer, Call, Object};
use log::warn;

use crate::client::Client;
use crate::error::PlatformError;
use crate::protocol::Written;

impl Client {
    /// Runs one call, retries included, and returns its answer.
    pub async fn run(&self, call: Call) -> Answer {
        match call {
            Call::Get(key) => object_answer(self.get(&key.kind.to_string(), &key.name).await),
            Call::List(kind) => match self.list(&kind.to_string(), "").await {
                Ok(listing) => Answer::Listing(listing),
                Err(err) => failure(&err),
            },
            Call::Put {
                key,
                if_version,
                value,
            } => {
                let kind = key.kind.to_string();
                write_answer(self.put(&kind, &key.name, if_version, &value).await)
            }
            Call::Delete { key, if_version } => {
                let kind = key.kind.to_string();
                write_answer(self.delete(&kind, &key.name, if_version).await)
            }
        }
    }
}

fn object_answer(answer: Result<Option<Object>, PlatformError>) -> Answer {
    match answer {
        Ok(object) => Answer::Object(object),
        Err(err) => failure(&err),
    }
}

fn write_answer(answer: Result<Written, PlatformError>) -> Answer {
    match answer {
        Ok(written) => Answer::Written {
            version: written.version,
        },
        Err(err) => failure(&err),
    }
}

fn failure(err: &PlatformError) -> Answer {
    if !matches!(err, PlatformError::Conflict { .. }) {
        warn!("platform: {err}");
    }
    match err {
        PlatformError::NotRun { .. } => Answer::NotRun,
        PlatformError::Conflict { version, .. } => Answer::Conflict { version: *version },
        // An answer that does not parse leaves open whether a write took effect.
        PlatformError::Lost { .. } | PlatformError::Unparsable { .. } => Answer::Lost,
        PlatformError::TooOld { .. } | PlatformError::TooLarge { .. } => Answer::Refused,
    }
}
