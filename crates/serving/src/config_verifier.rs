//! Verifies a serving configuration and reports all of its faults.

use std::collections::BTreeSet;

use bytes::Bytes;
use mulberrywell_settings::{Finding, FindingList};
use mulberrywell_wire::serving::{ServingAccount, ServingConfig, ServingRoute};

/// Verifies a configuration.
///
/// # Errors
/// Fails with one finding for each fault: two services that share a name, a
/// route to an unknown service, two routes with the same host and prefix,
/// weights that add up to 0, a timeout of 0, a prefix that does not begin and end
/// with a slash, two accounts that share a name or a key.
pub fn verify_config(config: &ServingConfig) -> Result<(), Vec<Finding>> {
    let mut findings = FindingList::new("serving configuration", "");
    let services: BTreeSet<&Bytes> = config.services.iter().map(|item| &item.name).collect();
    if services.len() != config.services.len() {
        findings.add(&(0..0), "two services share a name".to_owned());
    }
    let mut locations = BTreeSet::new();
    for route in &config.routes {
        for fault in route_faults(route, &services) {
            findings.add(&(0..0), format!("route {}: {fault}", text(&route.name)));
        }
        if !locations.insert((&route.host, &route.path_prefix)) {
            let name = text(&route.name);
            let fault = "another route has its host and prefix";
            findings.add(&(0..0), format!("route {name}: {fault}"));
        }
    }
    for fault in account_faults(&config.accounts) {
        findings.add(&(0..0), fault);
    }
    findings.finish(())
}

fn route_faults(route: &ServingRoute, services: &BTreeSet<&Bytes>) -> Vec<String> {
    let mut faults = Vec::new();
    for share in &route.shares {
        if !services.contains(&share.service) {
            faults.push(format!("service {} is not known", text(&share.service)));
        }
    }
    let weight: u64 = route
        .shares
        .iter()
        .map(|share| u64::from(share.weight))
        .sum();
    if weight == 0 {
        faults.push("its weights add up to 0".to_owned());
    }
    if route.timeout_ms == 0 {
        faults.push("its timeout is 0".to_owned());
    }
    if !route.path_prefix.starts_with(b"/") || !route.path_prefix.ends_with(b"/") {
        faults.push("its prefix does not begin and end with a slash".to_owned());
    }
    faults
}

fn account_faults(accounts: &[ServingAccount]) -> Vec<String> {
    let mut faults = Vec::new();
    let mut names = BTreeSet::new();
    let mut keys = BTreeSet::new();
    for account in accounts {
        let name = text(&account.name);
        if !names.insert(&account.name) {
            faults.push(format!("account {name} stands twice"));
        }
        for key in &account.keys {
            if !keys.insert(key) {
                faults.push(format!("account {name}: a key is given twice"));
            }
        }
    }
    faults
}

fn text(name: &Bytes) -> String {
    String::from_utf8_lossy(name).into_owned()
}
