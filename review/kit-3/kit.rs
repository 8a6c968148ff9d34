//! What the cases of this review share: a deployment of the project's own program with the
//! commands and the templates of the deploy file, clients and an operator, and the record.
//!
//! Standard library only. All addresses are loopback addresses.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    elapsed.as_millis() as u64
}

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Lines with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    pub start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Record {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn add(&self, text: String) {
        let line = format!("{:9.3} {text}", self.start.elapsed().as_secs_f64());
        self.lines.lock().unwrap().push(line);
    }

    /// Adds a line that is shown as well.
    pub fn say(&self, text: String) {
        println!("{:9.3} {text}", self.start.elapsed().as_secs_f64());
        self.add(text);
    }

    /// Writes the lines to `record.txt` in the folder of the case.
    pub fn save(&self, folder: &Path) {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        let _ = fs::write(folder.join("record.txt"), text);
    }
}

/// Values for the placeholders of a template; lists are joined by commas.
pub type Fields = BTreeMap<String, String>;

/// Fills in the placeholders and sections that the project's templates use.
pub fn render(template: &str, fields: &Fields) -> String {
    let mut text = template.to_owned();
    for (open, shown_if_set) in [("{{#", true), ("{{^", false)] {
        while let Some(start) = text.find(open) {
            let name_end = start + text[start..].find("}}").expect("a section has an end");
            let name = text[start + 3..name_end].to_owned();
            let close = format!("{{{{/{name}}}}}");
            let end = start + text[start..].find(&close).expect("a section is closed");
            let inner = text[name_end + 2..end].to_owned();
            let is_set = fields.get(&name).is_some_and(|value| !value.is_empty());
            let kept = if is_set == shown_if_set { inner } else { String::new() };
            text.replace_range(start..end + close.len(), &kept);
        }
    }
    while let Some(start) = text.find("{{") {
        let end = start + text[start..].find("}}").expect("a placeholder has an end");
        let (name, is_json) = match text[start + 2..end].split_once('|') {
            Some((name, _)) => (name.to_owned(), true),
            None => (text[start + 2..end].to_owned(), false),
        };
        let value = fields.get(&name).cloned().unwrap_or_default();
        let is_plain = value.starts_with('[') || value == "true" || value == "false";
        let shown = match is_json && !is_plain {
            true => format!("\"{value}\""),
            false => value,
        };
        text.replace_range(start..end + 2, &shown);
    }
    text
}

/// One machine with the roles control and gateway, or the gateway alone.
pub struct Machine {
    pub name: String,
    pub ip: String,
    pub zone: String,
    pub has_control: bool,
    pub control: Option<Child>,
    pub gateway: Option<Child>,
}

/// A small deployment: machines with both roles, each in a zone of its own.
pub struct Deployment {
    pub folder: PathBuf,
    pub machines: Vec<Machine>,
    pub seeds: Vec<String>,
    pub record: Record,
    pub grace_s: u64,
    /// Name for the record, where a case has several.
    pub label: String,
    starts: u64,
}

const FRONT_PORT: u16 = 8221;
const READY_PORT: u16 = 8224;
const CONTROL_PORT: u16 = 8229;
const LINK_PORT: u16 = 7600;

/// Addresses that this program has taken.
static NETS: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Returns the first three numbers of loopback addresses that nobody uses now.
pub fn free_net() -> String {
    let mut taken = NETS.lock().unwrap();
    let mut seed = unix_ms() ^ (u64::from(std::process::id()) << 20);
    for _ in 0..200 {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let net = format!("127.{}.{}", 20 + (seed >> 33) % 200, 1 + (seed >> 45) % 250);
        let ports = [FRONT_PORT, READY_PORT, CONTROL_PORT, LINK_PORT, 7602, 7603];
        let is_free = (1..=6).all(|host| {
            let mut ports = ports.iter();
            ports.all(|port| TcpListener::bind(format!("{net}.{host}:{port}")).is_ok())
        });
        if is_free && !taken.contains(&net) {
            taken.push(net.clone());
            return net;
        }
    }
    eprintln!("no free loopback addresses");
    std::process::exit(2);
}

impl Deployment {
    /// Prepares `controls` machines with both roles and `gateways` with the gateway alone.
    pub fn new(record: &Record, net: &str, controls: usize, gateways: usize) -> Self {
        let folder = std::env::temp_dir().join(format!("review-3-{}-{}", std::process::id(), net));
        fs::create_dir_all(&folder).unwrap();
        let mut machines = Vec::new();
        for idx in 0..controls + gateways {
            let zone = ["oslo-a", "oslo-b", "oslo-c"][idx % 3].to_owned();
            machines.push(Machine {
                name: format!("front-{zone}-{}", 1 + idx / 3),
                ip: format!("{net}.{}", idx + 1),
                zone,
                has_control: idx < controls,
                control: None,
                gateway: None,
            });
        }
        let seeds = machines.iter().filter(|it| it.has_control).take(3);
        let seeds = seeds.map(|it| format!("{}:{CONTROL_PORT}", it.ip)).collect();
        Deployment {
            folder,
            machines,
            seeds,
            record: record.clone(),
            grace_s: 8,
            label: String::new(),
            starts: 0,
        }
    }

    fn fields(&self, idx: usize, role: &str, bootstrap: bool) -> Fields {
        let machine = &self.machines[idx];
        let ip = &machine.ip;
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let data = match role {
            "control" => self.folder.join(format!("data-{idx}")).display().to_string(),
            _ => String::new(),
        };
        let entries = [
            ("node_name", machine.name.clone()),
            ("zone", machine.zone.clone()),
            ("region", "oslo".to_owned()),
            ("ip", ip.clone()),
            ("inner_port_range.0", LINK_PORT.to_string()),
            ("seeds", format!("[{}]", seeds.join(", "))),
            ("listen_addrs.front", format!("{ip}:{FRONT_PORT}")),
            ("listen_addrs.ready", format!("{ip}:{READY_PORT}")),
            ("listen_addrs.control", format!("{ip}:{CONTROL_PORT}")),
            ("data_dir", data),
            ("bootstrap", bootstrap.to_string()),
            ("limits.memory_mb", "260".to_owned()),
            ("bounds.grace_s", self.grace_s.to_string()),
            ("bounds.budget_ratio", "0.2".to_owned()),
            ("bounds.budget_extra", "58".to_owned()),
            ("bounds.quota_slack", "110000".to_owned()),
        ];
        entries.map(|(name, value)| (name.to_owned(), value)).into()
    }

    /// Starts the process of a role with the command of the deploy file.
    pub fn start(&mut self, idx: usize, role: &str, bootstrap: bool) {
        let template = fs::read_to_string(format!("deploy/{role}.toml")).unwrap();
        let text = render(&template, &self.fields(idx, role, bootstrap));
        self.starts += 1;
        let path = self.folder.join(format!("{role}-{idx}.toml"));
        fs::write(&path, text).unwrap();
        let log = fs::File::create(self.folder.join(format!("{role}-{idx}-{}.log", self.starts)));
        let log = log.unwrap();
        let child = Command::new("target/release/mulberrywell")
            .arg("serve")
            .env("MULBERRYWELL_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        let child = match child {
            Ok(child) => child,
            Err(err) => {
                eprintln!("target/release/mulberrywell can't be started: {err}");
                self.end(2);
            }
        };
        self.record.add(format!("start {role} of {} pid {}", self.machines[idx].name, child.id()));
        let machine = &mut self.machines[idx];
        match role {
            "control" => machine.control = Some(child),
            _ => machine.gateway = Some(child),
        }
    }

    /// Starts all processes for the first time.
    pub fn start_all(&mut self) {
        for idx in 0..self.machines.len() {
            if self.machines[idx].has_control {
                self.start(idx, "control", true);
            }
            self.start(idx, "gateway", true);
        }
    }

    /// Sends a signal to a role's process.
    pub fn signal(&self, idx: usize, role: &str, signal: &str) {
        let machine = &self.machines[idx];
        let child = match role {
            "control" => machine.control.as_ref(),
            _ => machine.gateway.as_ref(),
        };
        if let Some(child) = child {
            let pid = child.id().to_string();
            let _ = Command::new("kill").args([format!("-{signal}"), pid]).status();
            self.record.add(format!("{signal} to {role} of {}", machine.name));
        }
    }

    /// Kills a role's process and waits for its end.
    pub fn kill(&mut self, idx: usize, role: &str) {
        let machine = &mut self.machines[idx];
        let child = match role {
            "control" => machine.control.take(),
            _ => machine.gateway.take(),
        };
        if let Some(mut child) = child {
            let _ = child.kill();
            let _ = child.wait();
            self.record.add(format!("SIGKILL to {role} of {}", machine.name));
        }
    }

    /// Kills the processes of many machines at the same moment.
    pub fn kill_machines(&mut self, idxs: &[usize]) {
        for idx in idxs {
            let machine = &mut self.machines[*idx];
            for child in [&mut machine.control, &mut machine.gateway].into_iter().flatten() {
                let _ = child.kill();
            }
        }
        for idx in idxs {
            self.kill(*idx, "control");
            self.kill(*idx, "gateway");
        }
    }

    pub fn control(&self, idx: usize) -> SocketAddr {
        format!("{}:{CONTROL_PORT}", self.machines[idx].ip).parse().unwrap()
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        let idxs = 0..self.machines.len();
        idxs.filter(|idx| self.machines[*idx].has_control).map(|idx| self.control(idx)).collect()
    }

    pub fn front(&self, idx: usize) -> SocketAddr {
        format!("{}:{FRONT_PORT}", self.machines[idx].ip).parse().unwrap()
    }

    pub fn ready(&self, idx: usize) -> SocketAddr {
        format!("{}:{READY_PORT}", self.machines[idx].ip).parse().unwrap()
    }

    /// Sends an operator's call to one instance after the other until one gives a clear answer.
    pub fn operate(&self, method: &str, path: &str, body: &str, limit: Duration) -> Option<Answer> {
        let start = Instant::now();
        let controls = self.controls();
        let mut turn = 0;
        while start.elapsed() < limit {
            let address = controls[turn % controls.len()];
            turn += 1;
            let headers = [("Content-Type", "application/json")];
            let answer = call(address, method, path, &headers, body.as_bytes(), Duration::from_secs(1));
            match answer {
                Ok(answer) if answer.status < 500 && ![408, 429].contains(&answer.status) => {
                    return Some(answer);
                }
                _ => sleep_ms(50),
            }
        }
        None
    }

    /// Waits until the gateways of some machines say that they are ready.
    pub fn await_ready(&self, idxs: &[usize], limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            let is_ready = |idx: &usize| {
                let answer = call(self.ready(*idx), "GET", "/api/ready", &[], b"", Duration::from_secs(1));
                answer.is_ok_and(|it| it.status == 200)
            };
            if idxs.iter().all(is_ready) {
                return true;
            }
            sleep_ms(50);
        }
        false
    }

    /// Ends all processes, saves the record and exits.
    pub fn finish(&mut self, folder: &Path, status: i32) -> ! {
        self.record.say(format!("exit {status}"));
        self.record.save(folder);
        if let Ok(kept) = std::env::var("KEEP_LOGS") {
            let _ = Command::new("cp").args(["-r", &self.folder.display().to_string(), &kept]).status();
        }
        self.end(status)
    }

    /// Ends all processes and removes their files.
    pub fn clear(&mut self) {
        let idxs: Vec<usize> = (0..self.machines.len()).collect();
        self.kill_machines(&idxs);
        let _ = fs::remove_dir_all(&self.folder);
    }

    fn end(&mut self, status: i32) -> ! {
        self.clear();
        std::process::exit(status);
    }
}

/// An answer that came whole.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }
}

/// Sends one request on a channel of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Result<Answer, String> {
    let start = Instant::now();
    let mut stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))
        .map_err(|err| format!("no channel: {err}"))?;
    let _ = stream.set_nodelay(true);
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("Host")) {
        head += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).map_err(|err| format!("send: {err}"))?;
    read_answer(&mut stream, start + limit)
}

fn read_more(stream: &mut TcpStream, buf: &mut Vec<u8>, until: Instant) -> Result<usize, String> {
    let left = until.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err("no answer in time".to_owned());
    }
    stream.set_read_timeout(Some(left)).map_err(|err| err.to_string())?;
    let mut chunk = [0; 16 * 1024];
    match stream.read(&mut chunk) {
        Ok(len) => {
            buf.extend_from_slice(&chunk[..len]);
            Ok(len)
        }
        Err(err) => Err(format!("read: {err}")),
    }
}

/// Reads a whole answer.
pub fn read_answer(stream: &mut TcpStream, until: Instant) -> Result<Answer, String> {
    let mut buf = Vec::new();
    let head_end = loop {
        if let Some(end) = find(&buf, b"\r\n\r\n") {
            break end;
        }
        if read_more(stream, &mut buf, until)? == 0 {
            return Err("the channel was closed without an answer".to_owned());
        }
    };
    let head = String::from_utf8_lossy(&buf[..head_end]).into_owned();
    let mut rest = buf.split_off(head_end + 4);
    let mut lines = head.split("\r\n");
    let status = lines.next().unwrap_or_default().split(' ').nth(1).and_then(|it| it.parse().ok());
    let status: u16 = status.ok_or("no status")?;
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let mut answer = Answer { status, headers, body: Vec::new() };
    if answer.header("Transfer-Encoding").is_some() {
        loop {
            while let Some(end) = find(&rest, b"\r\n") {
                let size = String::from_utf8_lossy(&rest[..end]).into_owned();
                let size = usize::from_str_radix(size.trim(), 16).map_err(|_| "a bad chunk")?;
                if rest.len() < end + 2 + size + 2 {
                    break;
                }
                answer.body.extend_from_slice(&rest[end + 2..end + 2 + size]);
                rest.drain(..end + 2 + size + 2);
                if size == 0 {
                    return Ok(answer);
                }
            }
            if read_more(stream, &mut rest, until)? == 0 {
                return Err(format!("a {status} that ends early"));
            }
        }
    }
    let length: Option<usize> = answer.header("Content-Length").and_then(|it| it.parse().ok());
    loop {
        if length.is_some_and(|length| rest.len() >= length) {
            rest.truncate(length.unwrap_or(0));
            answer.body = rest;
            return Ok(answer);
        }
        if read_more(stream, &mut rest, until)? == 0 {
            if length.is_some() {
                return Err(format!("a {status} that ends early"));
            }
            answer.body = rest;
            return Ok(answer);
        }
    }
}

pub fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

/// A request that reached a stand-in.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads the next request of a kept channel; none once it is closed.
pub fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Request> {
    let mut chunk = [0; 16 * 1024];
    let _ = stream.set_read_timeout(None);
    loop {
        if let Some(end) = find(buf, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let mut words = lines.next()?.split(' ');
            let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
            let headers: Vec<(String, String)> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
                .collect();
            let request = Request { method, path, headers, body: Vec::new() };
            let length = request.header("Content-Length").and_then(|it| it.parse().ok()).unwrap_or(0);
            if buf.len() >= end + 4 + length {
                let body = buf[end + 4..end + 4 + length].to_vec();
                buf.drain(..end + 4 + length);
                return Some(Request { body, ..request });
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(len) => buf.extend_from_slice(&chunk[..len]),
        }
    }
}

/// Writes an answer with a length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> bool {
    let mut head = format!("HTTP/1.1 {status} X\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// Channels of a stand-in server, which its end closes.
#[derive(Clone, Default)]
pub struct Channels {
    streams: Arc<Mutex<Vec<TcpStream>>>,
    pub is_down: Arc<AtomicBool>,
}

impl Channels {
    /// Accepts channels on an address until the server goes down; `serve` gets each.
    pub fn listen(&self, address: SocketAddr, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
        let listener = TcpListener::bind(address).expect("the address of a stand-in is free");
        listener.set_nonblocking(true).unwrap();
        let (channels, serve) = (self.clone(), Arc::new(serve));
        thread::spawn(move || {
            while !channels.is_down.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        channels.streams.lock().unwrap().extend(stream.try_clone());
                        let serve = serve.clone();
                        thread::spawn(move || serve(stream));
                    }
                    Err(_) => sleep_ms(2),
                }
            }
        });
    }

    /// Ends the server: nobody listens any more, and all channels are closed.
    pub fn close(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        sleep_ms(10);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// A counter for ids.
pub static IDS: AtomicU64 = AtomicU64::new(1);

pub fn new_id() -> String {
    format!("{:08x}{:08x}", std::process::id(), IDS.fetch_add(1, Ordering::SeqCst))
}

/// Returns a field of a flat JSON text, without quotes.
pub fn json_field(text: &str, name: &str) -> Option<String> {
    let start = text.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = &text[start..];
    let end = match rest.strip_prefix('"') {
        Some(quoted) => return Some(quoted[..quoted.find('"')?].to_owned()),
        None => rest.find([',', '}']).unwrap_or(rest.len()),
    };
    Some(rest[..end].trim().to_owned())
}
