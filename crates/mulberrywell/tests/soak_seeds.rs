//! Short seeded runs of the soak; each seed that ever failed stays here with a
//! line on its cause.

mod common;

use std::time::Duration;

use common::binaries;
use mulberrywell_soak::{run_soak, ClusterSize, SoakSettings};
use rstest::rstest;

const USUAL_SIZE: ClusterSize = ClusterSize {
    controls: 3,
    gateways: 3,
    endpoints: 4,
};

fn play(seed: u64, seconds: u64, size: ClusterSize, callers: u64) {
    let settings = SoakSettings {
        binary: binaries().serve,
        seed,
        duration: Duration::from_secs(seconds),
        size,
        callers,
        log_folder: None,
    };
    let report = run_soak(&settings).unwrap();
    assert!(report.breaches.is_empty(), "{report:#?}");
    assert!(!report.faults.is_empty());
    assert!(report.served > report.calls / 10, "{report:#?}");
}

#[rstest]
#[case::usual(1, 12)]
// A process had no handler yet when SIGHUP came soon after its start, and ended
// (start_signal_not_lost); the harness itself signalled it before the program ran.
#[case::hangup_after_start(202, 20)]
fn soak_keeps_promises(#[case] seed: u64, #[case] seconds: u64) {
    play(seed, seconds, USUAL_SIZE, 8);
}

/// Each gateway admits on word of the others that is up to half a second old, and
/// one that is cut off with a part of them takes that part for all.
#[rstest]
#[case(900)]
#[case(901)]
fn soak_many_gateways_keep_rate(#[case] seed: u64) {
    let size = ClusterSize {
        controls: 5,
        gateways: 80,
        endpoints: 20,
    };
    play(seed, 20, size, 40);
}
