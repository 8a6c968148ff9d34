//! The plan list: plans, and the plan of each client account.
//!
//! ```toml
//! [[plan]]
//! name = "gold"
//! rate = 20000        # tokens per second for each client account
//! burst = 60000       # tokens
//! weight = 4          # weight of the account's share of an endpoint
//! priority = 0        # 0 is served first
//!
//! [[account]]
//! name = "medellin"
//! plan = "gold"
//! ```

use std::cell::RefCell;
use std::collections::BTreeSet;

use bytes::Bytes;
use mulberrywell_wire::config::{AccountItem, PlanItem};

use crate::{Finding, FindingList, TableReader};

/// Maximum of `rate` (tokens per second) and of `burst` (tokens).
const TOKENS_MAX: u64 = 1_000_000_000;
const WEIGHT_MAX: u64 = 1_000;
const PRIORITY_MAX: u64 = 7;

/// The operators' list of plans and client accounts.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlanList {
    /// Names are unique.
    pub plans: Vec<PlanItem>,
    /// Names are unique; each plan is in `plans`.
    pub accounts: Vec<AccountItem>,
}

impl PlanList {
    /// Reads and checks a plan list.
    ///
    /// # Errors
    /// Fails with all findings of the text.
    pub fn parse(file: &str, source: &str) -> Result<Self, Vec<Finding>> {
        let findings = RefCell::new(FindingList::new(file, source));
        let list = {
            let mut root = TableReader::parse(source, &findings);
            let plans = read_plans(&mut root);
            let accounts = read_accounts(&mut root, &plans);
            root.report_unknown_fields();
            PlanList { plans, accounts }
        };
        findings.into_inner().finish(list)
    }
}

fn read_plans(root: &mut TableReader<'_>) -> Vec<PlanItem> {
    let mut seen = BTreeSet::new();
    let mut plans = Vec::new();
    for mut table in root.tables("plan") {
        let plan = PlanItem {
            name: table.required_name("name"),
            rate: table.required_number("rate", 1..=TOKENS_MAX),
            burst: table.required_number("burst", 1..=TOKENS_MAX),
            weight: u32_or(table.number("weight", 1..=WEIGHT_MAX), 1),
            priority: u32_or(table.number("priority", 0..=PRIORITY_MAX), 0),
        };
        report_duplicate(&table, &mut seen, "plan", &plan.name);
        plans.push(plan);
        table.report_unknown_fields();
    }
    plans
}

fn read_accounts(root: &mut TableReader<'_>, plans: &[PlanItem]) -> Vec<AccountItem> {
    let mut seen = BTreeSet::new();
    let mut accounts = Vec::new();
    for mut table in root.tables("account") {
        let account = AccountItem {
            name: table.required_name("name"),
            plan: table.required_name("plan"),
        };
        report_duplicate(&table, &mut seen, "account", &account.name);
        if !account.plan.is_empty() && !plans.iter().any(|plan| plan.name == account.plan) {
            let plan = String::from_utf8_lossy(&account.plan);
            table.report(format!("plan `{plan}` is not in the list"));
        }
        accounts.push(account);
        table.report_unknown_fields();
    }
    accounts
}

/// Reports a name that an earlier table of the same kind already uses.
pub(crate) fn report_duplicate(
    table: &TableReader<'_>,
    seen: &mut BTreeSet<Bytes>,
    kind: &str,
    name: &Bytes,
) {
    if !name.is_empty() && !seen.insert(name.clone()) {
        let name = String::from_utf8_lossy(name);
        table.report(format!("{kind} `{name}` stands twice"));
    }
}

fn u32_or(number: Option<u64>, default: u32) -> u32 {
    number
        .and_then(|number| u32::try_from(number).ok())
        .unwrap_or(default)
}
