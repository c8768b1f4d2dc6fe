//! Runs a target stand-in as a separate process. Its only argument is the path of a settings file.

use std::error::Error;

use citronhollow_testkit::target::{self, TargetSettings};

fn main() -> Result<(), Box<dyn Error>> {
    let path = std::env::args()
        .nth(1)
        .ok_or("usage: standin_target FILE")?;
    let settings: TargetSettings = serde_json::from_slice(&std::fs::read(path)?)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, target::run(settings))?;
    Ok(())
}
