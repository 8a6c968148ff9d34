//! What the cases have in common: processes of a small deployment on loopback addresses,
//! an HTTP client, and the record of a run.

#![allow(dead_code)]

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Exit code of a run in which the rule was broken.
pub const BROKEN: i32 = 1;

/// Exit code of a run that could not be made.
pub const NOT_RUN: i32 = 2;

/// Time after which a run that has not ended counts as not made.
const RUN_MAX: Duration = Duration::from_secs(116);

/// The record of a run, written as it goes on.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn line(&self, text: &str) {
        let ms = self.start.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:>7} ms  {text}");
        println!("{ms:>7} ms  {text}");
    }
}

/// Whether the run has its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A run of a case: its record, its temporary folder and its processes.
pub struct Run {
    pub record: Record,
    pub folder: PathBuf,
    program: PathBuf,
    root: PathBuf,
    children: Arc<Mutex<Vec<(String, Child)>>>,
}

impl Run {
    /// Opens a run. The arguments of the program are the repository's root and the folder
    /// of the case.
    pub fn open() -> Run {
        let mut args = std::env::args().skip(1).map(PathBuf::from);
        let (Some(root), Some(case)) = (args.next(), args.next()) else {
            eprintln!("usage: PROGRAM REPOSITORY CASE");
            std::process::exit(NOT_RUN);
        };
        let program = root.join("target/release/mulberrywell");
        if !program.exists() {
            eprintln!("the build of the deploy file is missing");
            std::process::exit(NOT_RUN);
        }
        let name = format!("mulberrywell-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).unwrap();
        let file = File::create(case.join("record.txt")).unwrap();
        let record = Record {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        };
        let children: Arc<Mutex<Vec<(String, Child)>>> = Arc::default();
        let (watched, temporary, log) = (children.clone(), folder.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(RUN_MAX);
            log.line("the run took too long");
            end_all(&watched);
            let _ = fs::remove_dir_all(temporary);
            std::process::exit(NOT_RUN);
        });
        // A stand-in that fails ends what it has started, too.
        let (failing, temporary) = (children.clone(), folder.clone());
        std::panic::set_hook(Box::new(move |info| {
            eprintln!("{info}");
            end_all(&failing);
            let _ = fs::remove_dir_all(&temporary);
            std::process::exit(NOT_RUN);
        }));
        let line = match has_trouble() {
            true => "with the disruption",
            false => "TROUBLE=0: without the disruption",
        };
        record.line(line);
        Run {
            record,
            folder,
            program,
            root,
            children,
        }
    }

    /// Starts a process with the command of the deploy file.
    pub fn start(&self, name: &str, settings: &str) {
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings).unwrap();
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log).unwrap();
        let child = Command::new(&self.program)
            .arg("serve")
            .current_dir(&self.root)
            .env("MULBERRYWELL_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        self.children.lock().unwrap().push((name.to_owned(), child));
    }

    /// Returns the process id of a process.
    pub fn pid(&self, name: &str) -> Option<u32> {
        let children = self.children.lock().unwrap();
        let found = children.iter().find(|(known, _)| known == name);
        found.map(|(_, child)| child.id())
    }

    /// Kills a process (SIGKILL).
    pub fn kill(&self, name: &str) {
        let mut children = self.children.lock().unwrap();
        if let Some(index) = children.iter().position(|(known, _)| known == name) {
            let (_, mut child) = children.remove(index);
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether a process has ended by itself.
    pub fn has_ended(&self, name: &str) -> bool {
        let mut children = self.children.lock().unwrap();
        let found = children.iter_mut().find(|(known, _)| known == name);
        found.is_none_or(|(_, child)| !matches!(child.try_wait(), Ok(None)))
    }

    /// Sends a signal to a process of this run, by its name, such as TERM.
    pub fn signal(&self, name: &str, signal: &str) {
        if let Some(pid) = self.pid(name) {
            let _ = Command::new("kill")
                .arg(format!("-{signal}"))
                .arg(pid.to_string())
                .status();
        }
    }

    /// Returns the lines of a process's log that contain a text.
    pub fn log_lines(&self, name: &str, text: &str) -> Vec<String> {
        let log = fs::read(self.folder.join(format!("{name}.log"))).unwrap_or_default();
        let log = String::from_utf8_lossy(&log).into_owned();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }

    /// Ends all processes and the run: with 1 if the rule was broken, otherwise with 0.
    pub fn finish(self, broken: bool) -> ! {
        let line = match broken {
            true => "the rule was broken",
            false => "the rule held",
        };
        self.record.line(line);
        end_all(&self.children);
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
        std::process::exit(if broken { BROKEN } else { 0 });
    }

    /// Ends the run as one that could not be made.
    pub fn give_up(self, reason: &str) -> ! {
        self.record.line(&format!("not run: {reason}"));
        end_all(&self.children);
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
        std::process::exit(NOT_RUN);
    }
}

fn end_all(children: &Mutex<Vec<(String, Child)>>) {
    let mut children = match children.lock() {
        Ok(children) => children,
        Err(poisoned) => poisoned.into_inner(),
    };
    for (_, child) in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    children.clear();
}

/// Ports that are the same on all machines of a run.
#[derive(Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub inner: u16,
    pub control_metrics: u16,
    pub gateway_metrics: u16,
}

impl Ports {
    /// Finds ports that are free on the addresses of machines 1 to `machines`.
    pub fn find(machines: u8) -> Ports {
        let mut found = Vec::new();
        while found.len() < 6 {
            let listener = TcpListener::bind((machine_ip(1), 0)).unwrap();
            let port = listener.local_addr().unwrap().port();
            let mut others = (2..=machines).map(|machine| (machine_ip(machine), port));
            let is_free = others.all(|address| TcpListener::bind(address).is_ok());
            if is_free && !found.contains(&port) {
                found.push(port);
            }
        }
        Ports {
            front: found[0],
            ready: found[1],
            control: found[2],
            inner: found[3],
            control_metrics: found[4],
            gateway_metrics: found[5],
        }
    }
}

/// Returns the loopback address of a machine.
pub fn machine_ip(machine: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 9, machine))
}

/// Returns an address of a machine.
pub fn address(machine: u8, port: u16) -> SocketAddr {
    SocketAddr::new(machine_ip(machine), port)
}

fn instance_table(name: &str, machine: u8, zone: &str, seeds: &[u8], ports: Ports) -> String {
    let ip = machine_ip(machine);
    let seeds: Vec<String> = seeds
        .iter()
        .map(|seed| format!("\"{}\"", address(*seed, ports.control)))
        .collect();
    format!(
        "[instance]\nname = \"{name}\"\nzone = \"{zone}\"\nregion = \"oslo\"\n\
         listen = \"{ip}:{inner}\"\nseeds = [{seeds}]\nseed_port = {inner}\n\
         trusted_network = true\n\n",
        inner = ports.inner,
        seeds = seeds.join(", "),
    )
}

/// Returns the settings of a control instance, as the template of the deploy file gives
/// them; without a data folder it is one of a machine without a disk.
pub fn control_settings(
    name: &str,
    machine: u8,
    zone: &str,
    seeds: &[u8],
    ports: Ports,
    data: Option<&Path>,
    bootstrap: bool,
) -> String {
    let ip = machine_ip(machine);
    let place = match data {
        Some(data) => format!("data_folder = \"{}\"", data.display()),
        None => "observer = true".to_owned(),
    };
    format!(
        "{}[control]\nserving_listen = \"{ip}:{}\"\n{place}\nbootstrap = {bootstrap}\n\
         first_seed_founds = true\nopen_membership = true\n\n[metrics]\nlisten = \"{ip}:{}\"\n",
        instance_table(name, machine, zone, seeds, ports),
        ports.control,
        ports.control_metrics,
    )
}

/// Returns the settings of a gateway, as the template of the deploy file gives them with
/// the bounds of the site.
pub fn gateway_settings(name: &str, machine: u8, zone: &str, seeds: &[u8], ports: Ports) -> String {
    let ip = machine_ip(machine);
    format!(
        "{}[gateway]\ncaller_listen = \"{ip}:{}\"\nready_listen = \"{ip}:{}\"\n\
         shutdown_grace_s = 8\nretry_ratio = 0.2\nretry_extra = 58\n\
         rate_tolerance_tokens = 110000\nmemory_mb = 260\n\n[metrics]\nlisten = \"{ip}:{}\"\n",
        instance_table(name, machine, zone, seeds, ports),
        ports.front,
        ports.ready,
        ports.gateway_metrics,
    )
}

/// A response.
#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Sends a request on a connection of its own and reads the response; none if there is no
/// whole one in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Option<Response> {
    let end = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    if !fields.iter().any(|(name, _)| *name == "Host") {
        head += &format!("Host: {address}\r\n");
    }
    for (name, value) in fields {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method != "GET" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    stream.set_write_timeout(Some(timeout)).ok()?;
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    let mut input = Vec::new();
    let mut buf = vec![0; 64 * 1024];
    loop {
        if let Some(response) = parse(&input, false) {
            return Some(response);
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return None;
        }
        stream.set_read_timeout(Some(left)).ok()?;
        match stream.read(&mut buf) {
            Ok(0) => return parse(&input, true),
            Ok(len) => input.extend_from_slice(&buf[..len]),
            Err(_) => return None,
        }
    }
}

/// Returns the response in the bytes, if they hold a whole one.
fn parse(input: &[u8], is_end: bool) -> Option<Response> {
    let end = input.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&input[..end]).to_ascii_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"))
        .and_then(|value| value.trim().parse::<usize>().ok());
    let rest = &input[end..];
    match length {
        Some(length) if rest.len() >= length => Some(Response {
            status,
            body: rest[..length].to_vec(),
        }),
        None if is_end => Some(Response {
            status,
            body: rest.to_vec(),
        }),
        _ => None,
    }
}

/// Returns a manifest with a plain route and further ones.
pub fn manifest(version: u64, further_routes: usize) -> String {
    let mut routes = vec![route("r-first", "/first/")];
    for number in 0..further_routes {
        routes.push(route(
            &format!("r-more-{number:05}"),
            &format!("/more{number:05}/"),
        ));
    }
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\
         \"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\
         \"hule930\",\"api_keys\":[\"i9n73hh2b9wu3fexd9dn\"],\"priority\":1,\"unit\":\
         \"token_unit\",\"plain_tokens\":200,\"rate_per_s\":0,\"burst\":0}}]}}",
        routes.join(",")
    )
}

/// Returns a route as long as those on the example page of the bench's messages.
fn route(name: &str, prefix: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"ficu95.example\",\"path_prefix\":\"{prefix}\",\
         \"kind\":\"unsafe\",\"timeout_ms\":2000,\"goal_ms\":300,\"priority\":2,\"service\":\
         \"desk\",\"max_attempts\":1,\"public\":false,\"sticky\":false,\"resumable\":false,\
         \"gap_goal_ms\":0}}"
    )
}

/// Sleeps until an instant.
pub fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}
