//! A few thousand calls of five accounts while processes of every kind are killed,
//! suspended and cut off, and two operators edit concurrently.

use std::sync::atomic::AtomicU64;
use std::thread;

use mulberrywell_testkit::{wait_until, FakeService, ProcessCluster, ANY_PROCESS};

use crate::common::{GRANTS, PLANS};
use crate::fault_cluster::{run_and_check, wait_completed, AccountPlan, RunPlan};

const EXTRA_PLANS: &str = r#"
[[account]]
name = "bogota"
plan = "gold"

[[account]]
name = "oslo"
plan = "gold"

[[account]]
name = "bergen"
plan = "small"
"#;

const fn gold(name: &'static str) -> AccountPlan {
    AccountPlan {
        name,
        uses_service: true,
        rate: 100_000.0,
        burst: 200_000.0,
    }
}

const fn small(name: &'static str) -> AccountPlan {
    AccountPlan {
        name,
        uses_service: false,
        rate: 10.0,
        burst: 100.0,
    }
}

const FIVE_ACCOUNTS: [AccountPlan; 5] = [
    gold("medellin"),
    gold("bogota"),
    gold("oslo"),
    small("cali"),
    small("bergen"),
];

const LONG_RUN: RunPlan = RunPlan {
    controls: 3,
    calls: 2_400,
    accounts: &FIVE_ACCOUNTS,
    extra_plans: EXTRA_PLANS,
    served_min: 600,
};

/// Calls that complete during a fault, and between two faults.
const CALLS_PER_STEP: u64 = 70;

/// A fault of one process.
#[derive(Debug, Clone, Copy)]
enum ProcessFault {
    Kill(&'static str),
    Suspend(&'static str),
    /// Stalls all links to a process without closing them.
    Stall(&'static str),
    /// Resets all links to a process once.
    Reset(&'static str),
}

const FAULTS: [ProcessFault; 15] = [
    ProcessFault::Kill("control-0"),
    ProcessFault::Reset("agent-engine-0"),
    ProcessFault::Suspend("control-1"),
    ProcessFault::Kill("entry-0"),
    ProcessFault::Stall("agent-payments-0"),
    ProcessFault::Kill("control-2"),
    ProcessFault::Suspend("agent-engine-1"),
    ProcessFault::Stall("control-0"),
    ProcessFault::Kill("agent-payments-1"),
    ProcessFault::Suspend("entry-1"),
    ProcessFault::Kill("control-1"),
    ProcessFault::Stall("agent-engine-0"),
    ProcessFault::Kill("agent-engine-1"),
    ProcessFault::Suspend("control-0"),
    ProcessFault::Reset("agent-payments-0"),
];

fn start_fault(cluster: &mut ProcessCluster, fault: ProcessFault) {
    match fault {
        ProcessFault::Kill(name) => cluster.kill(name).unwrap(),
        ProcessFault::Suspend(name) => cluster.suspend(name).unwrap(),
        ProcessFault::Stall(name) => {
            for proxy in cluster.proxies_of(name) {
                proxy.stall();
            }
        }
        ProcessFault::Reset(name) => cluster.proxy(ANY_PROCESS, name).unwrap().reset(),
    }
}

fn end_fault(cluster: &mut ProcessCluster, fault: ProcessFault) {
    match fault {
        ProcessFault::Kill(name) => cluster.restart(name).unwrap(),
        ProcessFault::Suspend(name) => cluster.resume(name).unwrap(),
        ProcessFault::Stall(name) => {
            for proxy in cluster.proxies_of(name) {
                proxy.heal();
                proxy.reset();
            }
        }
        ProcessFault::Reset(_) => {}
    }
}

fn list_version(cluster: &ProcessCluster) -> Option<String> {
    let shown = cluster.operate_ok(&["show", "config", "--json"]).ok()?;
    let at = shown.find("\"list_version\":")?;
    let digits = shown[at..].split(|c: char| !c.is_ascii_digit());
    digits
        .map(ToOwned::to_owned)
        .find(|digits| !digits.is_empty())
}

/// Runs two concurrent edits on the same base; returns how many were accepted.
fn race_edits(cluster: &ProcessCluster, round: usize) -> usize {
    let mut base = None;
    wait_until("a control instance answers", || {
        base = list_version(cluster);
        base.is_some()
    })
    .unwrap();
    let base = base.unwrap();
    let edit = |operator: usize| {
        let plans = cluster.folder().join(format!("plans-{operator}.toml"));
        let grants = cluster.folder().join(format!("grants-{operator}.toml"));
        let text = format!("# round {round} of operator {operator}\n{PLANS}{EXTRA_PLANS}");
        std::fs::write(&plans, text).unwrap();
        std::fs::write(&grants, GRANTS).unwrap();
        let request = format!("round-{round}-operator-{operator}");
        let paths = [plans.to_string_lossy(), grants.to_string_lossy()];
        let args = [
            "apply",
            "--plans",
            &paths[0],
            "--grants",
            &paths[1],
            "--base",
            &base,
            "--request-id",
            &request,
        ];
        let mut code = None;
        // If the response is lost, the edit is resent with the same request id.
        wait_until("the edit is answered", || {
            code = cluster.operate(&args).unwrap().status.code();
            code != Some(5)
        })
        .unwrap();
        code
    };
    let codes = thread::scope(|scope| {
        let handles = [0, 1].map(|operator| scope.spawn(move || edit(operator)));
        handles.map(|handle| handle.join().unwrap())
    });
    for code in codes {
        assert!(matches!(code, Some(0 | 4)), "an edit ended with {code:?}");
    }
    codes.iter().filter(|code| **code == Some(0)).count()
}

fn inject_all_faults(cluster: &mut ProcessCluster, _: &[FakeService], completed: &AtomicU64) {
    for (round, fault) in FAULTS.into_iter().enumerate() {
        let calls = CALLS_PER_STEP * (2 * round as u64 + 1);
        wait_completed(completed, calls);
        start_fault(cluster, fault);
        assert_eq!(
            race_edits(cluster, round),
            1,
            "exactly one edit of a base must be accepted"
        );
        wait_completed(completed, calls + CALLS_PER_STEP);
        end_fault(cluster, fault);
    }
}

#[test]
fn promises_kept_in_long_run() {
    let (rate, others) = run_and_check(LONG_RUN, inject_all_faults);
    assert_eq!(others, vec![]);
    assert_eq!(rate, vec![]);
}
