//! Runs a fake model engine: `fake_engine ADDRESS MODEL...`.

use anyhow::{Context, Result};
use mulberrywell_testkit::{EngineConfig, FakeEngine, FakeModel};

/// Memory of each model in MiB.
const MODEL_MIB: u64 = 4_000;

fn main() -> Result<()> {
    let mut args = std::env::args().skip(1);
    let address = args.next().context("no listen address given")?.parse()?;
    let config = EngineConfig {
        models: args
            .map(|model| FakeModel {
                model,
                memory_mib: MODEL_MIB,
                ready: true,
            })
            .collect(),
        ..EngineConfig::default()
    };
    let _engine = FakeEngine::spawn_at(address, config)?;
    loop {
        std::thread::park();
    }
}
