//! Compares the findings of the files in `filetests/settings`, with their
//! positions, with golden files.

use std::fs;
use std::path::PathBuf;

use mulberrywell_settings::{AgentSettings, Finding, ServeSettings};

/// Compares the findings of a settings file with its golden file.
fn compare(name: &str, parse: impl Fn(&str, &str) -> Vec<Finding>) {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../filetests/settings");
    let source = fs::read_to_string(folder.join(format!("{name}.toml"))).unwrap();
    let findings = parse(&format!("{name}.toml"), &source);
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    let mut settings = insta::Settings::clone_current();
    settings.set_snapshot_path("../../../filetests/settings");
    settings.set_prepend_module_to_snapshot(false);
    settings.set_omit_expression(true);
    settings.bind(|| insta::assert_snapshot!(name, lines.join("\n")));
}

fn serve_findings(file: &str, source: &str) -> Vec<Finding> {
    ServeSettings::parse(file, source).err().unwrap_or_default()
}

fn agent_findings(file: &str, source: &str) -> Vec<Finding> {
    AgentSettings::parse(file, source).err().unwrap_or_default()
}

#[test]
fn findings_of_instance() {
    compare("serve", serve_findings);
}

#[test]
fn findings_of_agent() {
    compare("agent", agent_findings);
}

#[test]
fn findings_of_gateway() {
    compare("gateway", serve_findings);
}

#[test]
fn findings_of_callers() {
    compare("callers", serve_findings);
}

#[test]
fn findings_beside_syntax_error() {
    compare("syntax", serve_findings);
}
