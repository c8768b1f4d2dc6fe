//! `citronhollow status`: shows the fleet as one balancer sees it.

use std::net::SocketAddr;

use citronhollow_operator::cli;
use citronhollow_operator::failure::Failure;
use gumdrop::Options;

use super::remote::{self, Remote};

/// Shows what a balancer knows of the fleet.
#[derive(Debug, Options)]
pub struct StatusOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address of the balancer's operator HTTP", meta = "ADDRESS")]
    balancer: Option<SocketAddr>,
    #[options(help = "print JSON")]
    json: bool,
}

/// Gets the status of a balancer.
pub fn run(options: &StatusOptions) -> Result<String, Failure> {
    let remote = Remote {
        balancer: options.balancer,
        token_file: None,
    };
    let client = remote.client()?;
    let status = remote::block_on(client.status())?;
    if options.json {
        return Ok(cli::to_json(&status));
    }
    Ok(status.to_string())
}
