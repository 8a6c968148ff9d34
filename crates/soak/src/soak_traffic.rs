//! Traffic of a run (callers, operators and the endpoints' heartbeats) and the
//! records of what it observed.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use mulberrywell_platform_testkit::{
    versioned_event, FakeAccount, FakeCaller, FakeConfig, FakeOperator, FakeRequest, FIRST_VERSION,
    STREAM_EVENTS,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::soak_cluster::{SoakCluster, SECOND_VERSION, SERVICE, ZONES};

/// Maximum pause of a caller between two calls.
const CALLER_PAUSE_MS: u64 = 60;

/// Requests a second that a cold endpoint takes, as the platform's example has it.
pub(crate) const COLD_PER_S: f64 = 8.0;

/// Maximum pause of an operator between two changes.
const OPERATOR_PAUSE_MS: u64 = 900;

/// Minimum and maximum pause between two evacuations.
const EVACUATION_PAUSE_MS: std::ops::Range<u64> = 500..3_000;

/// Duration of an evacuation: the time after which it binds, and a window in which that
/// is seen.
const EVACUATION_MS: u64 = 8_000;

/// Pause before a call that was not acknowledged is resent.
const EVACUATION_RESEND_PAUSE: Duration = Duration::from_millis(100);

/// Time for which the end of an evacuation is resent, also after the traffic.
const EVACUATION_END_TIMEOUT: Duration = Duration::from_secs(20);

/// Changes the random sequence of the evacuations from that of the traffic.
const EVACUATION_SEED: u64 = 0xe7_ac;

/// Interval between two heartbeats of an endpoint.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(600);

/// Number of heartbeats after which another writer sends some.
const FOREIGN_HEARTBEATS: u64 = 4;

/// Number by which the sequences of another writer are ahead.
const FOREIGN_LEAD: u64 = 1_000_000;

/// Timeout that a caller sends with each request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

/// Time after which a caller closes its connection.
const CALL_TIMEOUT: Duration = Duration::from_secs(6);

/// Name, rate and burst of each account: one without a limit, and one with a low
/// limit.
pub(crate) const ACCOUNTS: [(&str, u64, u64); 2] = [("bogota", 0, 0), ("bergen", 1_000, 2_000)];

/// Route of a call, which determines whether the request may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Must run at most once.
    Once,
    /// Safe to run again.
    Safe,
    /// A resumable stream.
    Stream,
    /// Takes up a stream that an endpoint of a software version began, after an event.
    TakenUp(u64, &'static str),
    /// On the route that exists only in this configuration version.
    OwnRoute(u64),
}

impl CallKind {
    pub(crate) fn path(self) -> String {
        match self {
            CallKind::Once => "/once/x".to_owned(),
            CallKind::Safe => "/safe/x".to_owned(),
            CallKind::Stream | CallKind::TakenUp(..) => "/stream/x".to_owned(),
            CallKind::OwnRoute(version) => format!("{}x", FakeConfig::version_path(version)),
        }
    }
}

/// A call as observed by its caller.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Request id.
    pub id: String,
    /// Index of the gateway.
    pub gateway: usize,
    /// Incarnation of the gateway's process when the call was sent and when it
    /// ended.
    pub incarnations: (u64, u64),
    /// Route of the call.
    pub kind: CallKind,
    /// Key that the caller sent.
    pub key: String,
    /// Time at which the call was sent.
    pub sent: Instant,
    /// Time at which the response ended or the call failed.
    pub ended: Instant,
    /// HTTP status; 0 if none was received.
    pub status: u16,
    /// Whether the response was received completely.
    pub is_complete: bool,
    /// Body of the response as far as it was received.
    pub response: String,
}

/// A configuration version as observed by its operator.
#[derive(Debug, Clone)]
pub struct VersionRecord {
    /// Version number.
    pub version: u64,
    /// Keys of each account.
    pub keys: BTreeMap<String, Vec<String>>,
    /// Time at which the version was first sent.
    pub sent: Instant,
    /// Time at which the version was acknowledged, if it was.
    pub acknowledged: Option<Instant>,
}

/// A configuration version that an operator read back.
#[derive(Debug, Clone, Copy)]
pub struct ReadRecord {
    /// Index of the control instance.
    pub place: usize,
    /// Time at which the read was sent.
    pub sent: Instant,
    /// Version that the instance returned.
    pub version: u64,
}

/// An evacuation of a zone as observed by its operator.
#[derive(Debug, Clone)]
pub struct EvacuationRecord {
    /// The zone.
    pub zone: &'static str,
    /// Time at which the start was acknowledged.
    pub started: Instant,
    /// Time at which the end was first sent.
    pub end_sent: Option<Instant>,
}

/// Records of all traffic so far.
#[derive(Debug, Default)]
pub(crate) struct TrafficLog {
    calls: Mutex<Vec<CallRecord>>,
    versions: Mutex<Vec<VersionRecord>>,
    reads: Mutex<Vec<ReadRecord>>,
    evacuations: Mutex<Vec<EvacuationRecord>>,
}

impl TrafficLog {
    pub(crate) fn calls(&self) -> MutexGuard<'_, Vec<CallRecord>> {
        lock_mutex(&self.calls)
    }

    pub(crate) fn versions(&self) -> MutexGuard<'_, Vec<VersionRecord>> {
        lock_mutex(&self.versions)
    }

    pub(crate) fn reads(&self) -> MutexGuard<'_, Vec<ReadRecord>> {
        lock_mutex(&self.reads)
    }

    pub(crate) fn evacuations(&self) -> MutexGuard<'_, Vec<EvacuationRecord>> {
        lock_mutex(&self.evacuations)
    }
}

/// State shared by all traffic threads.
#[derive(Debug)]
pub(crate) struct SoakTraffic<'a> {
    pub(crate) cluster: &'a Mutex<SoakCluster>,
    pub(crate) log: TrafficLog,
    /// Set to stop callers and operators.
    pub(crate) stop_traffic: AtomicBool,
    /// Set to stop the endpoints' heartbeats.
    pub(crate) stop_heartbeats: AtomicBool,
}

impl SoakTraffic<'_> {
    fn is_active(&self) -> bool {
        !self.stop_traffic.load(Ordering::Relaxed)
    }

    /// Sends calls one at a time until traffic stops.
    pub(crate) fn run_caller(&self, seed: u64, caller: u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ (caller << 32));
        let gateways = lock_mutex(self.cluster).gateways.clone();
        let callers = gateways
            .iter()
            .map(|it| FakeCaller::new(it.caller_address, CALL_TIMEOUT));
        let callers: Vec<FakeCaller> = callers.collect();
        for number in 0_u64.. {
            if !self.is_active() {
                return;
            }
            let place = rng.random_range(0..callers.len());
            let (kind, key) = self.draw_request(&mut rng);
            let id = format!("s{caller}-{number}");
            let incarnation = || gateways[place].incarnation.load(Ordering::SeqCst);
            let incarnation_before = incarnation();
            let record = send_call(&callers[place], id, kind, key, None);
            let record = CallRecord {
                gateway: place,
                incarnations: (incarnation_before, incarnation()),
                ..record
            };
            self.log.calls().push(record.clone());
            self.take_up(&callers, &record);
            let pause = rng.random_range(1..CALLER_PAUSE_MS);
            thread::sleep(Duration::from_millis(pause));
        }
    }

    /// Takes a stream up at the next gateway if it broke off after an event.
    fn take_up(&self, callers: &[FakeCaller], broken: &CallRecord) {
        let is_broken = broken.kind == CallKind::Stream && !broken.is_complete;
        let events = broken.response.matches("\n\n").count() as u64;
        if !is_broken || events == 0 || events == STREAM_EVENTS {
            return;
        }
        let first = versioned_event(&broken.id, 1, FIRST_VERSION);
        let version = if broken.response.starts_with(&first) {
            FIRST_VERSION
        } else {
            SECOND_VERSION
        };
        let place = (broken.gateway + 1) % callers.len();
        let (id, key) = (format!("{}-up", broken.id), broken.key.clone());
        let kind = CallKind::TakenUp(events, version);
        let record = send_call(&callers[place], id, kind, key, Some((&broken.id, events)));
        self.log.calls().push(CallRecord {
            gateway: place,
            ..record
        });
    }

    fn draw_request(&self, rng: &mut Pcg64Mcg) -> (CallKind, String) {
        let versions = self.log.versions();
        let newest = versions.last().map_or(1, |it| it.version);
        let kind = match rng.random_range(0..10) {
            0..4 => CallKind::Once,
            4..6 => CallKind::Safe,
            6..8 => CallKind::Stream,
            8 => CallKind::OwnRoute(newest),
            _ => CallKind::OwnRoute(newest.saturating_sub(rng.random_range(1..4)).max(1)),
        };
        // Older versions are included, so that withdrawn keys are used as well.
        let age = rng.random_range(0..3).min(versions.len() - 1);
        let version = &versions[versions.len() - 1 - age];
        let keys: Vec<&String> = version.keys.values().flatten().collect();
        (kind, keys[rng.random_range(0..keys.len())].clone())
    }

    /// Puts configuration versions one after another, sometimes two concurrently, and
    /// reads versions back, until traffic stops.
    pub(crate) fn run_operator(&self, seed: u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ u64::MAX);
        let controls = lock_mutex(self.cluster).control_count();
        let mut version = 1;
        while self.is_active() {
            let pause = rng.random_range(1..OPERATOR_PAUSE_MS);
            thread::sleep(Duration::from_millis(pause));
            let place = rng.random_range(0..controls);
            let operator = lock_mutex(self.cluster).operator.clone();
            let sent = Instant::now();
            if let Some(version) = operator.version_at(place) {
                let read = ReadRecord {
                    place,
                    sent,
                    version,
                };
                self.log.reads().push(read);
            }
            let concurrent = if rng.random_bool(0.2) { 2 } else { 1 };
            let first = version + rng.random_range(1..4);
            version = first + concurrent - 1;
            thread::scope(|scope| {
                for next in first..=version {
                    let place = (place + usize::try_from(next).unwrap_or(0)) % controls;
                    let operator = &operator;
                    scope.spawn(move || self.put_version(operator, place, next));
                }
            });
        }
    }

    /// Evacuates one zone after another and returns each to service, until traffic stops.
    pub(crate) fn run_evacuations(&self, seed: u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ EVACUATION_SEED);
        let controls = lock_mutex(self.cluster).control_count();
        while self.is_active() {
            self.pause(rng.random_range(EVACUATION_PAUSE_MS));
            if !self.is_active() {
                return;
            }
            let zone = ZONES[rng.random_range(0..ZONES.len())];
            // Also a start that isn't acknowledged may be in force, so it is ended.
            let mut resend = |is_start: bool, is_wanted: &dyn Fn() -> bool| {
                while is_wanted() {
                    let operator = lock_mutex(self.cluster).operator.clone();
                    let acknowledged = |place| operator.evacuate_at(place, zone, is_start);
                    if acknowledged(rng.random_range(0..controls)) {
                        return Some(Instant::now());
                    }
                    thread::sleep(EVACUATION_RESEND_PAUSE);
                }
                None
            };
            if let Some(started) = resend(true, &|| self.is_active()) {
                self.log.evacuations().push(EvacuationRecord {
                    zone,
                    started,
                    end_sent: None,
                });
                self.pause(EVACUATION_MS);
            }
            let end_sent = Instant::now();
            if let Some(record) = self.log.evacuations().last_mut() {
                record.end_sent.get_or_insert(end_sent);
            }
            let give_up = end_sent + EVACUATION_END_TIMEOUT;
            resend(false, &|| Instant::now() < give_up);
        }
    }

    /// Waits, or until traffic stops.
    fn pause(&self, pause_ms: u64) {
        let end = Instant::now() + Duration::from_millis(pause_ms);
        while self.is_active() && Instant::now() < end {
            thread::sleep(EVACUATION_RESEND_PAUSE);
        }
    }

    /// Sends a version until it is acknowledged, at most three times.
    fn put_version(&self, operator: &FakeOperator, place: usize, version: u64) {
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

    /// Puts the first version; returns whether it was acknowledged.
    pub(crate) fn put_initial_config(&self) -> bool {
        let operator = lock_mutex(self.cluster).operator.clone();
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

    /// Sends the heartbeats of all endpoints at fixed intervals until they are
    /// stopped.
    pub(crate) fn run_heartbeats(&self) {
        for sequence in 1.. {
            if self.stop_heartbeats.load(Ordering::Relaxed) {
                return;
            }
            self.send_heartbeats(sequence);
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    }

    fn send_heartbeats(&self, sequence: u64) {
        let (operator, heartbeats) = {
            let mut cluster = lock_mutex(self.cluster);
            let places = 0..cluster.endpoints.len();
            let present = places.filter(|place| !cluster.has_left(*place));
            let present: Vec<usize> = present.collect();
            let mut heartbeats = Vec::new();
            for place in present {
                let body = cluster.heartbeat(place, sequence);
                cluster.heartbeats.insert(place, body.clone());
                heartbeats.push((cluster.endpoints[place].id().to_owned(), body));
            }
            heartbeats.extend(foreign_heartbeats(&cluster, sequence));
            (cluster.operator.clone(), heartbeats)
        };
        for (id, body) in heartbeats {
            // A heartbeat that no instance acknowledges is superseded by the next one.
            operator.send_heartbeat(&id, &body);
        }
        self.send_leaves(&operator);
    }

    /// Sends the leave calls that aren't confirmed, and the late heartbeats of the endpoints
    /// that have left.
    fn send_leaves(&self, operator: &FakeOperator) {
        let leaves = lock_mutex(self.cluster).leaves.clone();
        for (number, leave) in leaves.iter().enumerate() {
            if leave.ended.is_some() {
                continue;
            }
            let id = format!("w{}", leave.place);
            if leave.confirmed.is_some() {
                operator.send_heartbeat(&id, &leave.late);
                continue;
            }
            let path = format!("/api/instances/{id}/leave");
            let confirms = |place| {
                let body = format!("{{\"born\":{}}}", leave.born_ms);
                let answer = operator.call_instance(place, "POST", &path, &body);
                answer.is_some_and(|(status, _)| status == 200)
            };
            if (0..operator.instances()).any(confirms) {
                lock_mutex(self.cluster).leaves[number].confirmed = Some(Instant::now());
            }
        }
    }
}

/// Returns heartbeats of another writer at the address of one of the endpoints, under an id
/// of its own and under the endpoint's.
fn foreign_heartbeats(cluster: &SoakCluster, sequence: u64) -> Vec<(String, String)> {
    if sequence % FOREIGN_HEARTBEATS != 0 {
        return Vec::new();
    }
    let turn = usize::try_from(sequence / FOREIGN_HEARTBEATS).unwrap_or(0);
    let place = turn % cluster.endpoints.len();
    let ids = [
        format!("odd-{place}"),
        cluster.endpoints[place].id().to_owned(),
    ];
    let sequence = sequence + FOREIGN_LEAD;
    let body = cluster.foreign_heartbeat(place, sequence);
    ids.map(|id| (id, body.clone())).into()
}

/// Sends a call. The caller of this function fills in the gateway and its
/// incarnations.
pub(crate) fn send_call(
    caller: &FakeCaller,
    id: String,
    kind: CallKind,
    key: String,
    resumes: Option<(&str, u64)>,
) -> CallRecord {
    let sent = Instant::now();
    let response = caller.call(&FakeRequest {
        id: &id,
        key: &key,
        path: &kind.path(),
        body: &id,
        timeout: REQUEST_TIMEOUT,
        resumes,
    });
    let response = response.unwrap_or_default();
    CallRecord {
        id,
        gateway: 0,
        incarnations: (0, 0),
        kind,
        key,
        sent,
        ended: Instant::now(),
        status: response.status,
        is_complete: response.complete,
        response: response.body,
    }
}

/// Returns the configuration of a version. Each account has one key that is valid
/// in this version only and one that eight consecutive versions share.
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
        cold_per_s: COLD_PER_S,
    }
}

fn keys_of(config: &FakeConfig) -> BTreeMap<String, Vec<String>> {
    let accounts = config.accounts.iter();
    let keys = accounts.map(|account| (account.name.clone(), account.keys.clone()));
    keys.collect()
}

pub(crate) fn lock_mutex<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
