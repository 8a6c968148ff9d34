//! Stand-ins of the platform for the cases of this review: starts the project's own
//! programs as the deploy file does, plays the operator and clients over HTTP/1.1, and
//! writes `record.txt`. Uses the standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Exit statuses of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Ports that the platform's settings name, the same on all machines.
const INNER_PORT: u16 = 7600;
const FRONT_PORT: u16 = 8221;
const READY_PORT: u16 = 8224;
const CONTROL_PORT: u16 = 8229;
const PORTS: [u16; 6] = [INNER_PORT, 7602, 7603, FRONT_PORT, READY_PORT, CONTROL_PORT];

/// Returns whether the disruption is to be played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Writes lines with the time since the start to `record.txt`.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn open(folder: &Path) -> Self {
        let file = fs::File::create(folder.join("record.txt")).expect("record.txt can be written");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:9.3} {text}");
    }

    /// Writes a line that is also printed.
    pub fn say(&self, text: &str) {
        println!("{:9.3} {text}", self.start.elapsed().as_secs_f64());
        self.line(text);
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// Which role a process runs.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Role {
    Control,
    Gateway,
}

/// One process of the system.
pub struct Process {
    pub name: String,
    pub role: Role,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// A small deployment on loopback addresses: each machine has an address of its own.
pub struct Deployment {
    root: PathBuf,
    pub folder: PathBuf,
    pub record: Record,
    pub ips: Vec<Ipv4Addr>,
    pub processes: Vec<Process>,
    pub memory_mb: u64,
    /// Machines with a disk.
    pub disks: Vec<usize>,
    founded: bool,
}

impl Deployment {
    /// Prepares a deployment of this many machines; the first three have a disk.
    pub fn prepare(root: &Path, record: Record, machines: usize, memory_mb: u64) -> Option<Self> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let base = 16 + std::process::id() % 200;
        let net = (0..200).map(|step| (base + step) % 200 + 16).find(|net| {
            (1..=machines as u32).all(|host| {
                let ip = address(*net, host);
                PORTS.iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
            })
        })?;
        let ips = (1..=machines as u32).map(|host| address(net, host)).collect();
        if !root.join("target/release/mulberrywell").exists() {
            return None;
        }
        Some(Deployment {
            root: root.to_owned(),
            folder,
            record,
            ips,
            processes: Vec::new(),
            memory_mb,
            disks: vec![0, 1, 2],
            founded: false,
        })
    }

    /// Starts the role on a machine, with the settings that the deploy file's templates give.
    pub fn start(&mut self, role: Role, machine: usize) -> usize {
        let ip = self.ips[machine];
        let kind = match role {
            Role::Control => "control",
            Role::Gateway => "gateway",
        };
        let name = format!("front-{}/{kind}", machine + 1);
        let stem = format!("front-{}-{kind}", machine + 1);
        let process = Process {
            settings: self.folder.join(format!("{stem}.toml")),
            log: self.folder.join(format!("{stem}.log")),
            name,
            role,
            ip,
            child: None,
        };
        self.processes.push(process);
        let index = self.processes.len() - 1;
        self.write_settings(index, machine);
        self.spawn(index);
        index
    }

    /// Says that the system has been founded: later starts are told `bootstrap = false`.
    pub fn set_founded(&mut self) {
        self.founded = true;
        for index in 0..self.processes.len() {
            let ip = self.processes[index].ip;
            let machine = self.ips.iter().position(|it| *it == ip).unwrap();
            self.write_settings(index, machine);
        }
    }

    fn write_settings(&self, index: usize, machine: usize) {
        let process = &self.processes[index];
        let ip = process.ip;
        let seeds: Vec<String> =
            self.ips.iter().take(3).map(|ip| format!("\"{ip}:{CONTROL_PORT}\"")).collect();
        let zone = ["oslo-a", "oslo-b", "oslo-c"][machine % 3];
        let mut text = format!(
            "[instance]\nname = \"front-{}\"\nzone = \"{zone}\"\nregion = \"oslo\"\n\
             listen = \"{ip}:{INNER_PORT}\"\nseeds = [{}]\nseed_port = {INNER_PORT}\n\
             trusted_network = true\n\n",
            machine + 1,
            seeds.join(",")
        );
        match process.role {
            Role::Control => {
                text += &format!("[control]\nserving_listen = \"{ip}:{CONTROL_PORT}\"\n");
                if self.disks.contains(&machine) {
                    let data = self.data_folder(machine);
                    text += &format!("data_folder = \"{}\"\n", data.display());
                } else {
                    text += "observer = true\n";
                }
                text += &format!(
                    "bootstrap = {}\nfirst_seed_founds = true\nopen_membership = true\n\n",
                    !self.founded
                );
                text += &format!(
                    "[callers]\nmemory_mb = {}\n\n[metrics]\nlisten = \"{ip}:7602\"\n",
                    self.memory_mb
                );
            }
            Role::Gateway => {
                text += &format!(
                    "[gateway]\ncaller_listen = \"{ip}:{FRONT_PORT}\"\n\
                     ready_listen = \"{ip}:{READY_PORT}\"\nshutdown_grace_s = 8\n\
                     retry_ratio = 0.2\nretry_extra = 58\nrate_tolerance_tokens = 110000\n\n\
                     [callers]\nmemory_mb = {}\n\n[metrics]\nlisten = \"{ip}:7603\"\n",
                    self.memory_mb
                );
            }
        }
        fs::write(&process.settings, text).expect("settings can be written");
    }

    /// Folder that stands for a machine's disk.
    pub fn data_folder(&self, machine: usize) -> PathBuf {
        self.folder.join(format!("data-{}", machine + 1))
    }

    /// Starts a process, or starts it again after its end.
    pub fn spawn(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let log = fs::OpenOptions::new().create(true).append(true).open(&process.log).unwrap();
        let child = Command::new("target/release/mulberrywell")
            .arg("serve")
            .current_dir(&self.root)
            .env("MULBERRYWELL_SETTINGS", &process.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the program can be started");
        self.record.line(&format!("platform: start {} as {}", process.name, child.id()));
        process.child = Some(child);
    }

    pub fn pid(&self, index: usize) -> Option<u32> {
        self.processes[index].child.as_ref().map(Child::id)
    }

    /// Sends a signal to a process that this deployment has started.
    pub fn signal(&self, index: usize, name: &str) {
        if let Some(pid) = self.pid(index) {
            self.record.line(&format!("platform: {name} to {}", self.processes[index].name));
            let _ = Command::new("kill").arg(format!("-{name}")).arg(pid.to_string()).status();
        }
    }

    /// Returns the exit status of a process that has ended, once.
    pub fn take_ended(&mut self, index: usize) -> Option<String> {
        let child = self.processes[index].child.as_mut()?;
        let status = child.try_wait().ok()??;
        self.processes[index].child = None;
        Some(status.to_string())
    }

    /// Waits until a process has ended.
    pub fn wait_ended(&mut self, index: usize) {
        if let Some(mut child) = self.processes[index].child.take() {
            let _ = child.wait();
        }
    }

    /// Returns the resident memory of a process in bytes.
    pub fn memory(&self, index: usize) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid(index)?)).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes * 1024)
    }

    /// Returns what a process has logged so far.
    pub fn log(&self, index: usize) -> String {
        let bytes = fs::read(&self.processes[index].log).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    pub fn control(&self, machine: usize) -> SocketAddr {
        (self.ips[machine], CONTROL_PORT).into()
    }

    pub fn front(&self, machine: usize) -> SocketAddr {
        (self.ips[machine], FRONT_PORT).into()
    }

    pub fn is_ready(&self, machine: usize) -> bool {
        let request = Request::get("/api/ready");
        let address = (self.ips[machine], READY_PORT).into();
        send(address, &request, Duration::from_secs(1)).is_ok_and(|it| it.status == 200)
    }

    /// Sends a call to control as the operator does: to each node in turn, until one gives
    /// a clear answer.
    pub fn call_control(&self, request: &Request, first: usize, limit: Duration) -> Option<Response> {
        let end = Instant::now() + limit;
        let mut machine = first;
        while Instant::now() < end {
            let nodes = self.processes.iter().filter(|it| it.role == Role::Control).count();
            let address = self.control(machine % nodes);
            machine += 1;
            match send(address, request, Duration::from_secs(2)) {
                Ok(response) if response.status < 500 && ![408, 429].contains(&response.status) => {
                    return Some(response);
                }
                _ => std::thread::sleep(Duration::from_millis(50)),
            }
        }
        None
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in &mut self.processes {
            if let Some(child) = &mut process.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn address(net: u32, host: u32) -> Ipv4Addr {
    Ipv4Addr::new(127, net as u8, 77, host as u8)
}

/// Waits until a condition holds; false if it doesn't in time.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

/// An HTTP request.
#[derive(Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn get(path: &str) -> Self {
        Request { method: "GET".into(), path: path.into(), headers: Vec::new(), body: Vec::new() }
    }

    pub fn post(path: &str, body: impl Into<Vec<u8>>) -> Self {
        Request { method: "POST".into(), path: path.into(), headers: Vec::new(), body: body.into() }
    }

    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    pub fn bytes(&self, host: &str) -> Vec<u8> {
        let mut text = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        if !self.headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
            text += &format!("Host: {host}\r\n");
        }
        for (name, value) in &self.headers {
            text += &format!("{name}: {value}\r\n");
        }
        if self.method != "GET" || !self.body.is_empty() {
            text += &format!("Content-Length: {}\r\n", self.body.len());
        }
        text += "\r\n";
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// An HTTP response, or request, as read.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub start: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// The body has its full length.
    pub is_whole: bool,
}

/// Sends a request on a connection of its own and reads the response.
pub fn send(address: SocketAddr, request: &Request, limit: Duration) -> std::io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    stream.write_all(&request.bytes(&address.to_string()))?;
    read_message(&mut stream)
}

/// Reads one message with a length, chunks or an end by the close of the connection.
pub fn read_message(stream: &mut impl Read) -> std::io::Result<Response> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let mut lines = text.split("\r\n");
    let start = lines.next().unwrap_or_default().to_owned();
    let mut message = Response { start: start.clone(), ..Response::default() };
    message.status = start.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let is_request = start.ends_with("HTTP/1.1") && !start.starts_with("HTTP/");
    let chunked = message.headers.get("transfer-encoding").is_some_and(|it| it == "chunked");
    let length = message.headers.get("content-length").and_then(|it| it.parse::<usize>().ok());
    if chunked {
        message.is_whole = read_chunks(stream, &mut message.body).is_ok();
    } else if let Some(length) = length {
        message.body = vec![0; length];
        stream.read_exact(&mut message.body)?;
        message.is_whole = true;
    } else if is_request {
        message.is_whole = true;
    } else {
        message.is_whole = stream.read_to_end(&mut message.body).is_ok();
    }
    Ok(message)
}

fn read_line(stream: &mut impl Read) -> std::io::Result<String> {
    let mut line = Vec::new();
    let mut byte = [0];
    while !line.ends_with(b"\r\n") {
        if stream.read(&mut byte)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        line.push(byte[0]);
    }
    Ok(String::from_utf8_lossy(&line[..line.len() - 2]).into_owned())
}

fn read_chunks(stream: &mut impl Read, body: &mut Vec<u8>) -> std::io::Result<()> {
    loop {
        let line = read_line(stream)?;
        let size = usize::from_str_radix(line.trim(), 16)
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidData))?;
        let start = body.len();
        body.resize(start + size, 0);
        stream.read_exact(&mut body[start..])?;
        read_line(stream)?;
        if size == 0 {
            return Ok(());
        }
    }
}
