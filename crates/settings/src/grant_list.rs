//! The grant list: models, services, and which of them each plan may use.
//!
//! ```toml
//! [[model]]
//! name = "payroll-assistant"
//! pool = "asistente"       # endpoints that may load it
//! memory_mib = 16000
//! kv_mib = 64              # KV cache reserved for a running request
//! version = "3"            # optional
//! # base = "payroll-base"  # makes it an adapter
//!
//! [[service]]
//! name = "payments"
//! [[service.route]]
//! method = "POST"
//! path = "/orders"
//! idempotent = false
//! tokens = 50              # charged to the client account for each call
//! # open = true            # callable without a key
//!
//! [[grant]]
//! plan = "gold"
//! models = ["payroll-assistant"]
//! services = ["payments"]
//! ```

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::ops::Range;

use bytes::Bytes;
use mulberrywell_wire::config::{GrantItem, ModelItem, RouteItem, ServiceItem};

use crate::plan_list::report_duplicate;
use crate::{Finding, FindingList, PlanList, TableReader};

/// Maximum memory of a model in MiB.
const MEMORY_MAX_MIB: u64 = 16 * 1024 * 1024;
const ROUTE_TOKENS_MAX: u64 = 1_000_000;
const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/// The operators' list of models, services and grants.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct GrantList {
    /// Names are unique; the base model of an adapter precedes it in the list.
    pub models: Vec<ModelItem>,
    /// Names are unique.
    pub services: Vec<ServiceItem>,
    /// At most one for each plan; its models and services are in the list.
    pub grants: Vec<GrantItem>,
}

impl GrantList {
    /// Reads and checks a grant list.
    ///
    /// # Errors
    /// Fails with all findings of the text.
    pub fn parse(file: &str, source: &str) -> Result<Self, Vec<Finding>> {
        Self::read(file, source, None)
    }

    /// Reads a grant list and checks its plans against a plan list.
    ///
    /// # Errors
    /// Fails with all findings of the text.
    pub fn parse_with(file: &str, source: &str, plans: &PlanList) -> Result<Self, Vec<Finding>> {
        Self::read(file, source, Some(plans))
    }

    fn read(file: &str, source: &str, plans: Option<&PlanList>) -> Result<Self, Vec<Finding>> {
        let findings = RefCell::new(FindingList::new(file, source));
        let list = {
            let mut root = TableReader::parse(source, &findings);
            let models = read_models(&mut root);
            let services = read_services(&mut root);
            let mut list = GrantList {
                models,
                services,
                grants: Vec::new(),
            };
            list.grants = list.read_grants(&mut root, plans);
            root.report_unknown_fields();
            list
        };
        findings.into_inner().finish(list)
    }

    fn read_grants(&self, root: &mut TableReader<'_>, plans: Option<&PlanList>) -> Vec<GrantItem> {
        let mut seen = BTreeSet::new();
        let mut grants = Vec::new();
        for mut table in root.tables("grant") {
            let plan = table.required_name("plan");
            report_duplicate(&table, &mut seen, "grant of plan", &plan);
            let is_defined = |list: &PlanList| list.plans.iter().any(|item| item.name == plan);
            if !plan.is_empty() && !plans.is_none_or(is_defined) {
                let plan = String::from_utf8_lossy(&plan);
                table.report(format!("plan `{plan}` is not in the plan list"));
            }
            let models = table.names("models");
            let services = table.names("services");
            report_undefined(&table, &models, "model", |name| {
                self.models.iter().any(|model| model.name == name)
            });
            report_undefined(&table, &services, "service", |name| {
                self.services.iter().any(|service| service.name == name)
            });
            grants.push(GrantItem {
                plan,
                models: without_spans(models),
                services: without_spans(services),
            });
            table.report_unknown_fields();
        }
        grants
    }
}

fn read_models(root: &mut TableReader<'_>) -> Vec<ModelItem> {
    let mut seen = BTreeSet::new();
    let mut models: Vec<ModelItem> = Vec::new();
    for mut table in root.tables("model") {
        let model = ModelItem {
            name: table.required_name("name"),
            memory_mib: table.required_number("memory_mib", 1..=MEMORY_MAX_MIB),
            kv_mib: table.number("kv_mib", 0..=MEMORY_MAX_MIB).unwrap_or(0),
            base: table.name("base").unwrap_or_default(),
            pool: table.required_name("pool"),
            version: table.name("version").unwrap_or_default(),
        };
        report_duplicate(&table, &mut seen, "model", &model.name);
        let is_base = |other: &ModelItem| other.name == model.base && other.base.is_empty();
        if !model.base.is_empty() && !models.iter().any(is_base) {
            let base = String::from_utf8_lossy(&model.base);
            table.report(format!(
                "base model `{base}` does not stand before its adapter"
            ));
        }
        models.push(model);
        table.report_unknown_fields();
    }
    models
}

fn read_services(root: &mut TableReader<'_>) -> Vec<ServiceItem> {
    let mut seen = BTreeSet::new();
    let mut services = Vec::new();
    for mut table in root.tables("service") {
        let name = table.required_name("name");
        report_duplicate(&table, &mut seen, "service", &name);
        let routes = table.tables("route").into_iter().map(read_route).collect();
        services.push(ServiceItem { name, routes });
        table.report_unknown_fields();
    }
    services
}

fn read_route(mut table: TableReader<'_>) -> RouteItem {
    let method = table.required_string("method");
    if !method.is_empty() && !METHODS.contains(&method.as_str()) {
        table.report(format!("method `{method}` is not one of {METHODS:?}"));
    }
    let path = table.required_string("path");
    if !path.starts_with('/') {
        table.report("`path` must begin with `/`");
    }
    let route = RouteItem {
        idempotent: table.boolean("idempotent").unwrap_or(false),
        open: table.boolean("open").unwrap_or(false),
        tokens: table.number("tokens", 0..=ROUTE_TOKENS_MAX).unwrap_or(1),
        method: Bytes::from(method),
        path: Bytes::from(path),
    };
    table.report_unknown_fields();
    route
}

fn report_undefined(
    table: &TableReader<'_>,
    names: &[(Bytes, Range<usize>)],
    kind: &str,
    is_defined: impl Fn(&Bytes) -> bool,
) {
    for (name, span) in names {
        if !is_defined(name) {
            let name = String::from_utf8_lossy(name);
            table.report_at(span, format!("{kind} `{name}` is not in the list"));
        }
    }
}

fn without_spans(names: Vec<(Bytes, Range<usize>)>) -> Vec<Bytes> {
    names.into_iter().map(|(name, _)| name).collect()
}
