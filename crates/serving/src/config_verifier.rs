//! Verifies a serving configuration and reports its faults, the first ones in words.

use std::collections::BTreeSet;

use bytes::Bytes;
use mulberrywell_settings::{Finding, FindingList};
use mulberrywell_wire::serving::{ServingAccount, ServingConfig, ServingRoute};

/// Findings listed of one configuration; more of them tell an operator nothing, and take
/// memory.
const FINDINGS_MAX: usize = 64;

/// Characters of a name that a finding shows; a name may be megabytes long.
const SHOWN_CHARS: usize = 64;

/// Longest encoding of a character in bytes.
const CHAR_BYTES_MAX: usize = 4;

/// The first findings of a configuration.
struct ConfigFaults {
    findings: FindingList,
    /// Findings, listed or not.
    count: usize,
}

impl ConfigFaults {
    fn new() -> Self {
        ConfigFaults {
            findings: FindingList::new("serving configuration", ""),
            count: 0,
        }
    }

    fn add(&mut self, subject: &str, name: &Bytes, fault: &str) {
        self.count += 1;
        if self.count <= FINDINGS_MAX {
            let text = format!("{subject} {}: {fault}", shown(name));
            self.findings.add(&(0..0), text);
        }
    }

    fn finish(mut self) -> Result<(), Vec<Finding>> {
        let more = self.count.saturating_sub(FINDINGS_MAX);
        if more > 0 {
            self.findings.add(&(0..0), format!("{more} further faults"));
        }
        self.findings.finish(())
    }
}

/// Verifies a configuration.
///
/// # Errors
/// Fails with a finding for each of the first faults: two services that share a name, a
/// route to an unknown service, two routes with the same host and prefix,
/// weights that add up to 0, a timeout of 0, a prefix that does not begin and end
/// with a slash, two accounts that share a name or a key.
pub fn verify_config(config: &ServingConfig) -> Result<(), Vec<Finding>> {
    let mut faults = ConfigFaults::new();
    let mut services = BTreeSet::new();
    for service in &config.services {
        if !services.insert(&service.name) {
            faults.add("service", &service.name, "another one has its name");
        }
    }
    let mut locations = BTreeSet::new();
    for route in &config.routes {
        check_route(route, &services, &mut faults);
        if !locations.insert((&route.host, &route.path_prefix)) {
            let fault = "another route has its host and prefix";
            faults.add("route", &route.name, fault);
        }
    }
    check_accounts(&config.accounts, &mut faults);
    faults.finish()
}

fn check_route(route: &ServingRoute, services: &BTreeSet<&Bytes>, faults: &mut ConfigFaults) {
    for share in &route.shares {
        if !services.contains(&share.service) {
            let fault = format!("service {} is not known", shown(&share.service));
            faults.add("route", &route.name, &fault);
        }
    }
    let weights = route.shares.iter().map(|share| u64::from(share.weight));
    if weights.sum::<u64>() == 0 {
        faults.add("route", &route.name, "its weights add up to 0");
    }
    if route.timeout_ms == 0 {
        faults.add("route", &route.name, "its timeout is 0");
    }
    if !route.path_prefix.starts_with(b"/") || !route.path_prefix.ends_with(b"/") {
        let fault = "its prefix does not begin and end with a slash";
        faults.add("route", &route.name, fault);
    }
}

fn check_accounts(accounts: &[ServingAccount], faults: &mut ConfigFaults) {
    let mut names = BTreeSet::new();
    let mut keys = BTreeSet::new();
    for account in accounts {
        if !names.insert(&account.name) {
            faults.add("account", &account.name, "it stands twice");
        }
        for key in &account.keys {
            if !keys.insert(key) {
                faults.add("account", &account.name, "a key is given twice");
            }
        }
    }
}

/// Returns the beginning of a name as text.
fn shown(name: &Bytes) -> String {
    let start = &name[..name.len().min(SHOWN_CHARS * CHAR_BYTES_MAX)];
    let text = String::from_utf8_lossy(start);
    text.chars().take(SHOWN_CHARS).collect()
}
