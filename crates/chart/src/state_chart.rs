//! Parser, verifier and transition table of a chart.
//!
//! Example of the format:
//!
//! ```toml
//! initial = "joining"
//! final = ["gone"]
//!
//! [[transition]]
//! from = "joining"
//! event = "confirmed"
//! to = "live"
//! ```

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::ops::Range;

use mulberrywell_settings::{Finding, FindingList, TableReader};

use crate::ChartSymbol;

/// A verified chart with states `S` and events `E`.
#[derive(Debug, Clone)]
pub struct StateChart<S, E> {
    initial: S,
    /// Whether each state is final, by state index.
    finals: Vec<bool>,
    /// Next state, by state index, then event index.
    table: Vec<Vec<Option<S>>>,
    events: std::marker::PhantomData<E>,
}

/// A transition with its span in the source text.
struct Transition<S, E> {
    from: S,
    event: E,
    to: S,
    span: Range<usize>,
}

impl<S: ChartSymbol, E: ChartSymbol> StateChart<S, E> {
    /// Parses and verifies a chart.
    ///
    /// # Errors
    /// Fails with all errors found in the text.
    pub fn parse(file: &str, source: &str) -> Result<Self, Vec<Finding>> {
        let findings = RefCell::new(FindingList::new(file, source));
        let chart = read_chart(source, &findings);
        match chart {
            Some(chart) => findings.into_inner().finish(chart),
            None => Err(findings.into_inner().finish(()).err().unwrap_or_default()),
        }
    }

    /// Returns the initial state.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Returns whether a state is final.
    pub fn is_final(&self, state: S) -> bool {
        self.finals[state.index()]
    }

    /// Returns the state after an event. `None` means that the chart has no such
    /// transition and the event is to be ignored.
    pub fn next(&self, state: S, event: E) -> Option<S> {
        self.table[state.index()][event.index()]
    }
}

fn read_chart<S: ChartSymbol, E: ChartSymbol>(
    source: &str,
    findings: &RefCell<FindingList>,
) -> Option<StateChart<S, E>> {
    let mut root = TableReader::parse(source, findings);
    let initial = read_symbol::<S>(&mut root, "initial", "state");
    let mut finals = vec![false; S::ALL.len()];
    for (name, span) in root.strings("final") {
        match S::from_name(&name) {
            Some(state) => finals[state.index()] = true,
            None => root.report_at(&span, format!("unknown state `{name}`")),
        }
    }
    let transitions = read_transitions::<S, E>(&mut root);
    let initial = initial?;
    verify(&root, initial, &finals, &transitions);
    root.report_unknown_fields();
    let mut table = vec![vec![None; E::ALL.len()]; S::ALL.len()];
    for transition in transitions {
        table[transition.from.index()][transition.event.index()] = Some(transition.to);
    }
    Some(StateChart {
        initial,
        finals,
        table,
        events: std::marker::PhantomData,
    })
}

fn read_symbol<T: ChartSymbol>(table: &mut TableReader<'_>, field: &str, kind: &str) -> Option<T> {
    let Some((name, span)) = table.string(field) else {
        table.report(format!("field `{field}` is missing"));
        return None;
    };
    let symbol = T::from_name(&name);
    if symbol.is_none() {
        table.report_at(&span, format!("unknown {kind} `{name}`"));
    }
    symbol
}

fn read_transitions<S: ChartSymbol, E: ChartSymbol>(
    root: &mut TableReader<'_>,
) -> Vec<Transition<S, E>> {
    let mut transitions = Vec::new();
    for mut table in root.tables("transition") {
        let from = read_symbol::<S>(&mut table, "from", "state");
        let event = read_symbol::<E>(&mut table, "event", "event");
        let to = read_symbol::<S>(&mut table, "to", "state");
        let span = table.span();
        table.report_unknown_fields();
        if let (Some(from), Some(event), Some(to)) = (from, event, to) {
            transitions.push(Transition {
                from,
                event,
                to,
                span,
            });
        }
    }
    transitions
}

fn verify<S: ChartSymbol, E: ChartSymbol>(
    root: &TableReader<'_>,
    initial: S,
    finals: &[bool],
    transitions: &[Transition<S, E>],
) {
    let mut pairs = BTreeSet::new();
    for transition in transitions {
        let (from, event) = (transition.from, transition.event);
        if !pairs.insert((from.index(), event.index())) {
            let text = format!(
                "duplicate transition for event `{}` in state `{}`",
                event.name(),
                from.name()
            );
            root.report_at(&transition.span, text);
        }
        if finals[from.index()] {
            let text = format!("final state `{}` has an outgoing transition", from.name());
            root.report_at(&transition.span, text);
        }
    }
    let reached = reachable(initial, transitions);
    for (state, name) in S::ALL {
        if !reached.contains(&state.index()) {
            root.report(format!("state `{name}` is unreachable"));
        }
        let has_outgoing = transitions.iter().any(|item| item.from == *state);
        if !finals[state.index()] && !has_outgoing {
            root.report(format!(
                "state `{name}` is not final and has no outgoing transition"
            ));
        }
    }
    for (event, name) in E::ALL {
        if !transitions.iter().any(|item| item.event == *event) {
            root.report(format!("event `{name}` has no transition"));
        }
    }
}

fn reachable<S: ChartSymbol, E>(initial: S, transitions: &[Transition<S, E>]) -> BTreeSet<usize> {
    let mut reached = BTreeSet::from([initial.index()]);
    loop {
        let before = reached.len();
        for transition in transitions {
            if reached.contains(&transition.from.index()) {
                reached.insert(transition.to.index());
            }
        }
        if reached.len() == before {
            return reached;
        }
    }
}
