//! Records a session as text: callers' requests, responses and operators' commands.

use std::net::SocketAddr;

use mulberrywell_testkit::{HttpCaller, ProcessCluster};

/// Headers of a response that are recorded.
const RECORDED_HEADERS: [&str; 4] = [
    "content-type",
    "mulberrywell-ran",
    "retry-after",
    "www-authenticate",
];

/// Limit in bytes up to which a value is recorded in full.
const VALUE_LEN_MAX: usize = 1_000;

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
    /// Texts that differ between runs, with their placeholders.
    redactions: Vec<(String, String)>,
}

impl SessionLog {
    /// Replaces `value` by the placeholder `<name>` in everything recorded from now on.
    pub fn redact(&mut self, value: &str, name: &str) {
        self.redactions
            .push((value.to_owned(), format!("<{name}>")));
    }

    /// Records a comment.
    pub fn comment(&mut self, text: &str) {
        self.line(&format!("# {text}"));
    }

    /// Sends a request and records it with its response.
    pub fn request(&mut self, address: SocketAddr, request: &SessionRequest<'_>) {
        self.line(&format!(
            "> {} {}",
            request.method,
            abbreviate(request.path)
        ));
        if let Some(key) = request.key {
            self.line(&format!("> authorization: Bearer {key}"));
        }
        for (name, value) in request.headers {
            self.line(&format!("> {name}: {}", abbreviate(value)));
        }
        if !request.body.is_empty() {
            self.line(&format!("> {}", abbreviate(request.body)));
        }
        let caller = HttpCaller::new(address, request.key);
        let (method, path) = (request.method, request.path);
        let response = caller
            .call(method, path, request.headers, request.body)
            .expect("the request is answered");
        self.line(&format!("< {}", response.status));
        for name in RECORDED_HEADERS {
            match (name, response.header(name)) {
                (_, "") => {}
                // The wait depends on how far the token bucket has been
                // refilled, and therefore on the speed of the machine.
                ("retry-after", seconds) if seconds.parse::<u64>().is_ok() => {
                    self.line("< retry-after: <seconds>");
                }
                (_, value) => self.line(&format!("< {name}: {value}")),
            }
        }
        for line in response.body.trim_end().lines() {
            self.line(&format!("< {line}"));
        }
        let end = if response.complete { "" } else { "< (short)\n" };
        self.line(end);
    }

    /// Runs an operators' command and records it with its output and exit code.
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

    /// Compares the session with its golden file.
    pub fn compare(self, name: &str) {
        let mut settings = insta::Settings::clone_current();
        settings.set_snapshot_path("../../../../filetests");
        settings.set_prepend_module_to_snapshot(false);
        settings.set_omit_expression(true);
        settings.bind(|| insta::assert_snapshot!(name, self.text));
    }

    fn line(&mut self, line: &str) {
        let mut line = redact_versions(line);
        for (value, name) in &self.redactions {
            line = line.replace(value, name);
        }
        self.text.push_str(&line);
        self.text.push('\n');
    }
}

/// Replaces the number after each `version` or `--base`: versions count all changes,
/// also those of endpoints, whose order differs between runs.
fn redact_versions(line: &str) -> String {
    let words = line.split(' ').scan("", |last, word| {
        let is_version = matches!(*last, "version" | "--base") && word.parse::<u64>().is_ok();
        *last = word;
        Some(if is_version { "<version>" } else { word })
    });
    words.collect::<Vec<_>>().join(" ")
}

fn abbreviate(value: &str) -> String {
    if value.len() <= VALUE_LEN_MAX {
        return value.to_owned();
    }
    format!("({} bytes)", value.len())
}
