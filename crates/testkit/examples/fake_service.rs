//! Runs a fake plain service: `fake_service ADDRESS`.

use anyhow::{Context, Result};
use mulberrywell_testkit::FakeService;

fn main() -> Result<()> {
    let address = std::env::args().nth(1).context("no listen address given")?;
    let _service = FakeService::spawn_at(address.parse()?)?;
    loop {
        std::thread::park();
    }
}
