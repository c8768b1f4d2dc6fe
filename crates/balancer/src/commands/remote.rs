//! Shared code of the commands that call a running balancer.

use std::net::SocketAddr;

use citronhollow_core::error::ErrorKind;
use citronhollow_operator::client::Client;
use citronhollow_operator::failure::Failure;
use citronhollow_operator::input;
use citronhollow_operator::token::Token;

const BALANCER_VARIABLE: &str = "CITRONHOLLOW_BALANCER";
const TOKEN_VARIABLE: &str = "CITRONHOLLOW_TOKEN";
const DEFAULT_BALANCER: &str = "127.0.0.1:7980";

/// The balancer to call and the source of its token. The token itself is not an option, because
/// every user of the machine can read the arguments of a process.
#[derive(Clone, Copy, Debug)]
pub struct Remote<'a> {
    /// Address given by the options.
    pub balancer: Option<SocketAddr>,
    /// Token file given by the options.
    pub token_file: Option<&'a str>,
}

impl Remote<'_> {
    /// A client for the balancer from the options, the environment or the default, in this order.
    ///
    /// # Errors
    ///
    /// [`Failure`] if the address does not parse or the token file cannot be read.
    pub fn client(&self) -> Result<Client, Failure> {
        Ok(Client::new(self.address()?, self.token()?))
    }

    fn address(&self) -> Result<SocketAddr, Failure> {
        if let Some(balancer) = self.balancer {
            return Ok(balancer);
        }
        let text = variable(BALANCER_VARIABLE);
        let text = text.as_deref().unwrap_or(DEFAULT_BALANCER);
        text.parse().map_err(|_| {
            let message = format!(
                "{BALANCER_VARIABLE}: {text:?} is not an address; write an IP address and a port, \
                 such as {DEFAULT_BALANCER}"
            );
            Failure::new(ErrorKind::Invalid, message)
        })
    }

    fn token(&self) -> Result<Option<Token>, Failure> {
        let token = match self.token_file {
            Some(path) => Some(input::read(path)?),
            None => variable(TOKEN_VARIABLE),
        };
        Ok(token.map(|token| Token::from(String::from(token.trim()))))
    }
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

/// Runs a command's calls on this thread.
///
/// # Errors
///
/// The error of the calls, or a [`Failure`] if the event queue cannot be created.
pub fn block_on<T>(calls: impl Future<Output = Result<T, Failure>>) -> Result<T, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|error| {
        let message =
            format!("the event queue cannot be created: {error}; raise the limit on open files");
        Failure::new(ErrorKind::Invalid, message)
    })?;
    runtime.block_on(calls)
}
