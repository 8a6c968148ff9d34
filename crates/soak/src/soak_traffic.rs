//! Callers, operators and endpoints' heartbeats of a run, and what they saw.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use mulberrywell_platform_testkit::{
    FakeAccount, FakeCaller, FakeConfig, FakeOperator, FakeRequest,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::soak_cluster::{SoakCluster, SERVICE};

/// Longest pause of a caller between two calls.
const CALLER_PAUSE_MS: u64 = 60;

/// Longest pause of an operator between two changes.
const OPERATOR_PAUSE_MS: u64 = 900;

/// Pause between two heartbeats of an endpoint.
const BEAT_INTERVAL: Duration = Duration::from_millis(600);

/// Time that a caller waits for an answer.
const DEADLINE: Duration = Duration::from_secs(4);

/// Time after which a caller closes its connection.
const CALL_LIMIT: Duration = Duration::from_secs(6);

/// The account without a bound, and the one with a small rate and burst.
pub(crate) const ACCOUNTS: [(&str, u64, u64); 2] = [("bogota", 0, 0), ("bergen", 1_000, 2_000)];

/// A route, by what its requests may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Runs at most once.
    Once,
    /// May run again.
    Safe,
    /// A stream that may be resumed.
    Stream,
    /// On the route that only this version has.
    OwnRoute(u64),
}

impl CallKind {
    pub(crate) fn path(self) -> String {
        match self {
            CallKind::Once => "/once/x".to_owned(),
            CallKind::Safe => "/safe/x".to_owned(),
            CallKind::Stream => "/stream/x".to_owned(),
            CallKind::OwnRoute(version) => format!("{}x", FakeConfig::own_path(version)),
        }
    }
}

/// One call as its caller saw it.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Id of the request.
    pub id: String,
    /// Place of the gateway.
    pub gateway: usize,
    /// Start of the gateway's process when it was sent, and when it ended.
    pub incarnations: (u64, u64),
    /// What was asked for.
    pub kind: CallKind,
    /// Key that it came with.
    pub key: String,
    /// When it was sent.
    pub sent: Instant,
    /// When the caller knew the end.
    pub ended: Instant,
    /// HTTP status; 0 when none came.
    pub status: u16,
    /// Whether the answer ended as an answer does.
    pub is_whole: bool,
    /// Body of the answer as far as it came.
    pub answer: String,
}

/// One version as its operator saw it.
#[derive(Debug, Clone)]
pub struct VersionRecord {
    /// Version.
    pub version: u64,
    /// Keys by account.
    pub keys: BTreeMap<String, Vec<String>>,
    /// When it was first sent.
    pub sent: Instant,
    /// When it was acknowledged, if it was.
    pub acknowledged: Option<Instant>,
}

/// A version that an operator read back.
#[derive(Debug, Clone, Copy)]
pub struct ReadRecord {
    /// Place of the control instance.
    pub place: usize,
    /// When it was asked for.
    pub sent: Instant,
    /// Version that came.
    pub version: u64,
}

/// Everything that was seen so far.
#[derive(Debug, Default)]
pub(crate) struct TrafficLog {
    calls: Mutex<Vec<CallRecord>>,
    versions: Mutex<Vec<VersionRecord>>,
    reads: Mutex<Vec<ReadRecord>>,
}

impl TrafficLog {
    pub(crate) fn calls(&self) -> MutexGuard<'_, Vec<CallRecord>> {
        locked(&self.calls)
    }

    pub(crate) fn versions(&self) -> MutexGuard<'_, Vec<VersionRecord>> {
        locked(&self.versions)
    }

    pub(crate) fn reads(&self) -> MutexGuard<'_, Vec<ReadRecord>> {
        locked(&self.reads)
    }
}

/// What all traffic threads share.
#[derive(Debug)]
pub(crate) struct Traffic<'a> {
    pub(crate) cluster: &'a Mutex<SoakCluster>,
    pub(crate) log: TrafficLog,
    /// Callers and operators stop.
    pub(crate) is_over: AtomicBool,
    /// Endpoints stop their heartbeats.
    pub(crate) is_ended: AtomicBool,
}

impl Traffic<'_> {
    fn goes_on(&self) -> bool {
        !self.is_over.load(Ordering::Relaxed)
    }

    /// Sends one call after the other until the run is over.
    pub(crate) fn call_on(&self, seed: u64, caller: u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ (caller << 32));
        let gateways = locked(self.cluster).gateways.clone();
        let callers = gateways
            .iter()
            .map(|it| FakeCaller::new(it.callers, CALL_LIMIT));
        let callers: Vec<FakeCaller> = callers.collect();
        for number in 0_u64.. {
            if !self.goes_on() {
                return;
            }
            let place = rng.random_range(0..callers.len());
            let (kind, key) = self.draw_call(&mut rng);
            let id = format!("s{caller}-{number}");
            let incarnation = || gateways[place].incarnation.load(Ordering::SeqCst);
            let begun = incarnation();
            let record = send_call(&callers[place], id, kind, key);
            self.log.calls().push(CallRecord {
                gateway: place,
                incarnations: (begun, incarnation()),
                ..record
            });
            let pause = rng.random_range(1..CALLER_PAUSE_MS);
            thread::sleep(Duration::from_millis(pause));
        }
    }

    fn draw_call(&self, rng: &mut Pcg64Mcg) -> (CallKind, String) {
        let versions = self.log.versions();
        let newest = versions.last().map_or(1, |it| it.version);
        let kind = match rng.random_range(0..10) {
            0..4 => CallKind::Once,
            4..6 => CallKind::Safe,
            6..8 => CallKind::Stream,
            8 => CallKind::OwnRoute(newest),
            _ => CallKind::OwnRoute(newest.saturating_sub(rng.random_range(1..4)).max(1)),
        };
        // Keys of versions before the newest as well.
        let back = rng.random_range(0..3).min(versions.len() - 1);
        let version = &versions[versions.len() - 1 - back];
        let keys: Vec<&String> = version.keys.values().flatten().collect();
        (kind, keys[rng.random_range(0..keys.len())].clone())
    }

    /// Puts one version after the other, at times two at once, and reads back.
    pub(crate) fn operate_on(&self, seed: u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ u64::MAX);
        let (operator, controls) = {
            let cluster = locked(self.cluster);
            (cluster.operator.clone(), cluster.control_count())
        };
        let mut version = 1;
        while self.goes_on() {
            let pause = rng.random_range(1..OPERATOR_PAUSE_MS);
            thread::sleep(Duration::from_millis(pause));
            let place = rng.random_range(0..controls);
            let sent = Instant::now();
            if let Some(version) = operator.version_at(place) {
                let read = ReadRecord {
                    place,
                    sent,
                    version,
                };
                self.log.reads().push(read);
            }
            let racing = if rng.random_bool(0.2) { 2 } else { 1 };
            let first = version + rng.random_range(1..4);
            version = first + racing - 1;
            thread::scope(|scope| {
                for next in first..=version {
                    let place = (place + usize::try_from(next).unwrap_or(0)) % controls;
                    let operator = &operator;
                    scope.spawn(move || self.put(operator, place, next));
                }
            });
        }
    }

    /// Puts a version in force, at most by three calls.
    fn put(&self, operator: &FakeOperator, place: usize, version: u64) {
        let config = config(version);
        self.log.versions().push(VersionRecord {
            version,
            keys: keys_of(&config),
            sent: Instant::now(),
            acknowledged: None,
        });
        for _ in 0..3 {
            if operator.put_at(place, &config) {
                let mut versions = self.log.versions();
                let known = versions.iter_mut().find(|it| it.version == version);
                if let Some(record) = known {
                    record.acknowledged = Some(Instant::now());
                }
                return;
            }
        }
    }

    /// Puts the first version in force.
    pub(crate) fn begin_configuration(&self) -> bool {
        let operator = locked(self.cluster).operator.clone();
        if self.log.versions().is_empty() {
            self.log.versions().push(VersionRecord {
                version: 1,
                keys: keys_of(&config(1)),
                sent: Instant::now(),
                acknowledged: None,
            });
        }
        let acknowledged = operator.put(&config(1));
        if acknowledged {
            self.log.versions()[0].acknowledged = Some(Instant::now());
        }
        acknowledged
    }

    /// Sends the heartbeats of all endpoints until the run has ended.
    pub(crate) fn beat_on(&self) {
        for sequence in 1.. {
            if self.is_ended.load(Ordering::Relaxed) {
                return;
            }
            self.beat(sequence);
            thread::sleep(BEAT_INTERVAL);
        }
    }

    fn beat(&self, sequence: u64) {
        let (operator, beats) = {
            let cluster = locked(self.cluster);
            let places = 0..cluster.endpoints.len();
            let beats = places.map(|place| {
                let id = cluster.endpoints[place].id().to_owned();
                (id, cluster.heartbeat(place, sequence))
            });
            (cluster.operator.clone(), beats.collect::<Vec<_>>())
        };
        for (id, body) in beats {
            // A heartbeat that nobody takes is followed by the next one.
            operator.beat(&id, &body);
        }
    }
}

/// Sends a call; the caller fills in the gateway.
pub(crate) fn send_call(
    caller: &FakeCaller,
    id: String,
    kind: CallKind,
    key: String,
) -> CallRecord {
    let sent = Instant::now();
    let answer = caller.call(&FakeRequest {
        id: &id,
        key: &key,
        path: &kind.path(),
        body: &id,
        deadline: DEADLINE,
    });
    let answer = answer.unwrap_or_default();
    CallRecord {
        id,
        gateway: 0,
        incarnations: (0, 0),
        kind,
        key,
        sent,
        ended: Instant::now(),
        status: answer.status,
        is_whole: answer.whole,
        answer: answer.body,
    }
}

/// Returns a version's configuration: each account has a key of this version alone
/// and one that eight versions share.
pub(crate) fn config(version: u64) -> FakeConfig {
    let accounts = ACCOUNTS.map(|(name, rate, burst)| FakeAccount {
        name: name.to_owned(),
        keys: vec![
            format!("key-{name}-{version}"),
            format!("key-{name}-since-{}", version / 8),
        ],
        rate,
        burst,
    });
    FakeConfig {
        version,
        service: SERVICE.to_owned(),
        accounts: accounts.into(),
    }
}

fn keys_of(config: &FakeConfig) -> BTreeMap<String, Vec<String>> {
    let accounts = config.accounts.iter();
    let keys = accounts.map(|account| (account.name.clone(), account.keys.clone()));
    keys.collect()
}

pub(crate) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
