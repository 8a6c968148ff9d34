//! The serving path with real processes: three control instances, a gateway and
//! workers that speak the users' platform's published protocol.

mod common;

use std::fs;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use common::binaries;
use mulberrywell_platform_testkit::FakeWorker;
use mulberrywell_testkit::{free_port, wait_until, HttpAnswer, HttpCaller};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::json;

const KEY: &str = "serving-key-1";

/// A process that ends with the test.
struct OwnedProcess(Child);

impl OwnedProcess {
    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.0.id()).unwrap();
        kill(Pid::from_raw(id), signal).unwrap();
    }

    fn is_running(&mut self) -> bool {
        self.0.try_wait().unwrap().is_none()
    }
}

impl Drop for OwnedProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A small deployment.
struct ServingDeployment {
    folder: tempfile::TempDir,
    seeds: Vec<SocketAddr>,
    /// Where workers and operators call.
    serving: Vec<SocketAddr>,
    control: Vec<Option<OwnedProcess>>,
    gateway: OwnedProcess,
    callers: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    worker: FakeWorker,
}

impl ServingDeployment {
    fn spawn() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let ports = |count: usize| -> Vec<SocketAddr> {
            (0..count).map(|_| free_port().unwrap()).collect()
        };
        let seeds = ports(3);
        let serving = ports(3);
        let [callers, ready, metrics] = ports(3)[..] else {
            unreachable!("three ports");
        };
        let gateway_table = format!(
            "[gateway]\ncaller_listen = \"{callers}\"\nready_listen = \"{ready}\"\n\
             [metrics]\nlisten = \"{metrics}\"\n"
        );
        let own = free_port().unwrap();
        let gateway = launch(folder.path(), "gateway", own, &seeds, &gateway_table);
        let mut deployment = ServingDeployment {
            folder,
            seeds,
            serving,
            control: Vec::new(),
            gateway,
            callers,
            ready,
            metrics,
            worker: FakeWorker::spawn("w1").unwrap(),
        };
        for place in 0..3 {
            let process = deployment.launch_control(place, true);
            deployment.control.push(Some(process));
        }
        wait_until("the configuration is taken", || deployment.put(1).is_some()).unwrap();
        wait_until("the gateway is ready", || {
            deployment.beat(&deployment.worker, "ready", 1);
            deployment.ask(deployment.ready, "GET", "/ready", "") == Some(200)
        })
        .unwrap();
        deployment
    }

    fn launch_control(&self, place: usize, bootstrap: bool) -> OwnedProcess {
        let data = self.folder.path().join(format!("data-{place}"));
        let table = format!(
            "[control]\nserving_listen = \"{}\"\ndata_folder = \"{}\"\nbootstrap = {bootstrap}\n\
             first_seed_founds = true\nopen_membership = true\n",
            self.serving[place],
            data.display()
        );
        let name = format!("control-{place}");
        launch(
            self.folder.path(),
            &name,
            self.seeds[place],
            &self.seeds,
            &table,
        )
    }

    /// Calls an address and returns the status, if any came.
    fn ask(&self, address: SocketAddr, method: &str, path: &str, body: &str) -> Option<u16> {
        let caller = HttpCaller::with_limit(address, None, Duration::from_secs(3));
        let answer = caller.call(method, path, &[], body).ok()?;
        Some(answer.status)
    }

    /// Puts a version in force at any control instance.
    fn put(&self, version: u64) -> Option<()> {
        let route = |name: &str, kind: &str| {
            json!({"name": name, "host": "h.example", "path_prefix": format!("/{name}/"),
                "kind": kind, "timeout_ms": 5000, "goal_ms": 500, "service": "s1",
                "max_attempts": 2, "resumable": false})
        };
        let body = json!({
            "version": version,
            "routes": [route("once", "unsafe"), route("stream", "streaming")],
            "services": [{"name": "s1", "health_path": "/health", "max_conns": 100}],
            "tenants": [{"name": "cali", "api_keys": [KEY]}],
        });
        let mut taken = self.serving.iter().filter(|address| {
            self.ask(**address, "POST", "/api/config/put", &body.to_string()) == Some(200)
        });
        taken.next().map(|_| ())
    }

    fn beat(&self, worker: &FakeWorker, state: &str, sequence: u64) {
        let body = worker.heartbeat("s1", state, sequence);
        let taken = self.serving.iter().any(|address| {
            self.ask(*address, "POST", "/api/instances/w1/heartbeat", &body) == Some(200)
        });
        assert!(taken);
    }

    fn call(&self, path: &str, key: &str) -> HttpAnswer {
        let caller = HttpCaller::new(self.callers, None);
        let headers = [
            ("Host", "h.example"),
            ("Request-Id", "r1"),
            ("Deadline-Ms", "4000"),
            ("Credential", key),
        ];
        caller.call("POST", path, &headers, "body").unwrap()
    }
}

fn launch(
    folder: &std::path::Path,
    name: &str,
    listen: SocketAddr,
    seeds: &[SocketAddr],
    tables: &str,
) -> OwnedProcess {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let text = format!(
        "[instance]\nname = \"{name}\"\nzone = \"zone-a\"\nregion = \"region-a\"\n\
         listen = \"{listen}\"\ntrusted_network = true\nseeds = [{}]\n{tables}",
        seeds.join(", ")
    );
    let settings = folder.join(format!("{name}.toml"));
    fs::write(&settings, text).unwrap();
    let log = fs::File::create(folder.join(format!("{name}.log"))).unwrap();
    let child = Command::new(binaries().serve)
        .arg("serve")
        .env("MULBERRYWELL_SETTINGS", &settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::null())
        .spawn();
    OwnedProcess(child.unwrap())
}

#[test]
fn serving_whole_path() {
    let deployment = ServingDeployment::spawn();
    let answer = deployment.call("/once/x?q=1", KEY);
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, "/once/x?q=1 cali body");
    assert_eq!(answer.header("Server-Signature"), "s1");
    assert_eq!(deployment.worker.runs()[0].header("Credential"), "");
    assert_eq!(deployment.call("/once/x", "other").status, 401);
    assert_eq!(deployment.call("/none/x", KEY).status, 404);
    let stream = deployment.call("/stream/x", KEY);
    assert!(stream.whole && stream.body.ends_with("id: 3\ndata: e3\n\n"));
    assert!(stream.first_byte < stream.total, "events come one by one");
    deployment.worker.set_sheds(true);
    let refused = deployment.call("/once/x", KEY);
    assert_eq!(refused.status, 503);
    assert_ne!(refused.header("Retry-After"), "");
    let metrics = HttpCaller::new(deployment.metrics, None);
    let text = metrics.call("GET", "/metrics", &[], "").unwrap().body;
    assert!(
        text.contains("mulberrywell_gateway_requests_total"),
        "{text}"
    );
    assert!(!text.contains(KEY));
    for name in ["gateway", "control-0"] {
        let log = fs::read_to_string(deployment.folder.path().join(format!("{name}.log")));
        assert!(!log.unwrap().contains(KEY), "{name}");
    }
}

#[test]
fn serving_control_restarts_keep_the_configuration() {
    let mut deployment = ServingDeployment::spawn();
    assert!(deployment.put(7).is_some());
    for place in 0..3 {
        deployment.control[place] = None;
    }
    // The gateway goes on by what it knows.
    assert_eq!(deployment.call("/once/x", KEY).status, 200);
    for place in 0..3 {
        deployment.control[place] = Some(deployment.launch_control(place, false));
    }
    let caller = HttpCaller::with_limit(deployment.serving[1], None, Duration::from_secs(3));
    wait_until("the configuration is read back", || {
        let read = caller.call("GET", "/api/config/get", &[], "");
        read.is_ok_and(|read| read.status == 200 && read.body.contains("\"version\":7"))
    })
    .unwrap();
}

#[test]
fn serving_shutdown_cuts_nothing() {
    let mut deployment = ServingDeployment::spawn();
    deployment.gateway.signal(Signal::SIGHUP);
    let callers = deployment.callers;
    let stream = std::thread::spawn(move || {
        let headers = [
            ("Host", "h.example"),
            ("Request-Id", "r2"),
            ("Deadline-Ms", "4000"),
            ("Credential", KEY),
        ];
        HttpCaller::new(callers, None).call("POST", "/stream/x", &headers, "")
    });
    wait_until("the stream runs", || !deployment.worker.runs().is_empty()).unwrap();
    assert!(deployment.gateway.is_running(), "SIGHUP ends nothing");
    deployment.gateway.signal(Signal::SIGTERM);
    let answer = stream.join().unwrap().unwrap();
    assert!(answer.whole && answer.body.ends_with("data: e3\n\n"));
    wait_until("the gateway ends", || !deployment.gateway.is_running()).unwrap();
    let status = deployment.gateway.0.try_wait().unwrap().unwrap();
    assert!(status.success(), "{status}");
}
