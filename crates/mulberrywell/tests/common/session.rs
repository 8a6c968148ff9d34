//! Records a session as text: requests, answers and operators' commands.

use std::net::SocketAddr;

use mulberrywell_testkit::{HttpCaller, ProcessCluster};

/// Headers of an answer that a session shows.
const SHOWN_HEADERS: [&str; 4] = [
    "content-type",
    "mulberrywell-ran",
    "retry-after",
    "www-authenticate",
];

/// Longest value that is shown whole, in bytes.
const SHOWN_LEN: usize = 1_000;

/// A request of a session.
#[derive(Debug, Clone, Default)]
pub struct SessionRequest<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub key: Option<&'a str>,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: &'a str,
}

/// The text of a session.
#[derive(Debug, Default)]
pub struct SessionLog {
    text: String,
    /// Texts that differ from run to run, and what stands for them.
    names: Vec<(String, String)>,
}

impl SessionLog {
    /// Shows `name` wherever `value` would stand.
    pub fn redact(&mut self, value: &str, name: &str) {
        self.names.push((value.to_owned(), format!("<{name}>")));
    }

    /// Adds a comment.
    pub fn note(&mut self, text: &str) {
        self.line(&format!("# {text}"));
    }

    /// Sends a request and notes it with its answer.
    pub fn request(&mut self, address: SocketAddr, request: &SessionRequest<'_>) {
        self.line(&format!("> {} {}", request.method, shown(request.path)));
        if let Some(key) = request.key {
            self.line(&format!("> authorization: Bearer {key}"));
        }
        for (name, value) in request.headers {
            self.line(&format!("> {name}: {}", shown(value)));
        }
        if !request.body.is_empty() {
            self.line(&format!("> {}", shown(request.body)));
        }
        let caller = HttpCaller::new(address, request.key);
        let (method, path) = (request.method, request.path);
        let answer = caller
            .call(method, path, request.headers, request.body)
            .expect("an answer comes");
        self.line(&format!("< {}", answer.status));
        for name in SHOWN_HEADERS {
            match (name, answer.header(name)) {
                (_, "") => {}
                // How much the bucket has refilled depends on the machine.
                ("retry-after", seconds) if seconds.parse::<u64>().is_ok() => {
                    self.line("< retry-after: <seconds>");
                }
                (_, value) => self.line(&format!("< {name}: {value}")),
            }
        }
        for line in answer.body.trim_end().lines() {
            self.line(&format!("< {line}"));
        }
        let end = if answer.whole { "" } else { "< (short)\n" };
        self.line(end);
    }

    /// Runs an operators' command and notes it with its outcome.
    pub fn command(&mut self, cluster: &ProcessCluster, args: &[&str]) {
        let output = cluster.operate(args).expect("the command runs");
        self.line(&format!("$ mulberrywell {}", args.join(" ")));
        for text in [&output.stdout, &output.stderr] {
            for line in String::from_utf8_lossy(text).trim_end().lines() {
                self.line(line);
            }
        }
        let code = output.status.code().unwrap_or(-1);
        self.line(&format!("exit {code}\n"));
    }

    /// Compares the session with its file.
    pub fn compare(self, name: &str) {
        let mut settings = insta::Settings::clone_current();
        settings.set_snapshot_path("../../../../filetests");
        settings.set_prepend_module_to_snapshot(false);
        settings.set_omit_expression(true);
        settings.bind(|| insta::assert_snapshot!(name, self.text));
    }

    fn line(&mut self, line: &str) {
        let mut line = redact_versions(line);
        for (value, name) in &self.names {
            line = line.replace(value, name);
        }
        self.text.push_str(&line);
        self.text.push('\n');
    }
}

/// Replaces the number after each `version`: it counts all changes, also those
/// of endpoints, which come in any order.
fn redact_versions(line: &str) -> String {
    let words = line.split(' ').scan("", |last, word| {
        let is_version = matches!(*last, "version" | "--base") && word.parse::<u64>().is_ok();
        *last = word;
        Some(if is_version { "<version>" } else { word })
    });
    words.collect::<Vec<_>>().join(" ")
}

fn shown(value: &str) -> String {
    if value.len() <= SHOWN_LEN {
        return value.to_owned();
    }
    format!("({} bytes)", value.len())
}
