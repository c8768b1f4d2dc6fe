//! Runs the platform stand-in as a separate process.

use std::io;
use std::net::SocketAddr;

use citronhollow_testkit::platform::StandIn;
use gumdrop::Options;

/// Command-line arguments.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "show this help")]
    help: bool,
    #[options(required, help = "address to serve on; port 0 takes a free one")]
    listen: Option<SocketAddr>,
}

fn main() -> io::Result<()> {
    let args = Args::parse_args_default_or_exit();
    let Some(listen) = args.listen else {
        return Err(io::Error::other(
            "--listen is missing; give an IP number and port",
        ));
    };
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(serve(listen))
}

async fn serve(listen: SocketAddr) -> io::Result<()> {
    let stand_in = StandIn::start(listen).await?;
    println!("listening on {}", stand_in.address());
    tokio::signal::ctrl_c().await
}
