//! Figures of one run, and their medians and worst values over the seeds.

use std::time::Duration;

/// One run's figures.
#[derive(Debug, Clone, Default)]
pub struct RunResult {
    /// Requests within their account's rate that met the latency target.
    pub attained: u64,
    /// Requests within their account's rate.
    pub offered: u64,
    /// Attained requests per second per accelerator.
    pub per_accelerator: f64,
    /// Loads of models from the weight store.
    pub moves: u64,
    /// Lowest attainment of any account.
    pub worst_account: f64,
    /// Mean attainment over the accounts.
    pub mean_account: f64,
    /// Refused requests that were within their account's rate.
    pub refused: u64,
    /// Time during which no endpoint served a model, summed over the models.
    pub unreachable: Duration,
    /// Highest ratio of used memory to capacity of any engine.
    pub peak: f64,
}

impl RunResult {
    /// Records the peak memory of an engine.
    pub fn record_peak(&mut self, peak_mib: u64, capacity_mib: u64) {
        self.peak = self.peak.max(peak_mib as f64 / capacity_mib as f64);
    }

    /// Computes the figures that are derived from the counts.
    pub fn finish(&mut self, accelerators: usize) {
        let seconds = crate::request_stream::RUN_SECONDS;
        self.per_accelerator = self.attained as f64 / seconds / accelerators as f64;
    }
}

/// Returns the median of a column over the runs of a cell.
pub fn median(runs: &[RunResult], column: impl Fn(&RunResult) -> f64) -> f64 {
    let mut values: Vec<f64> = runs.iter().map(column).collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Prints the header of the table.
pub fn print_table_header() {
    println!(
        "| deployment | scenario | variant | attained % | worst seed % | /s/accelerator | moves | \
         worst account % | mean account % | refused | unreachable s (max) | peak memory % (max) |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
}

/// Prints a cell as one row.
pub fn print_row(deployment: &str, scenario: &str, variant: &str, runs: &[RunResult]) {
    let share = |run: &RunResult| 100.0 * run.attained as f64 / run.offered as f64;
    let worst = runs.iter().map(share).fold(f64::MAX, f64::min);
    let highest = |column: fn(&RunResult) -> f64| runs.iter().map(column).fold(0.0, f64::max);
    println!(
        "| {deployment} | {scenario} | {variant} | {:.1} | {worst:.1} | {:.3} | {:.0} | {:.1} | \
         {:.1} | {:.0} | {:.2} | {:.1} |",
        median(runs, share),
        median(runs, |run| run.per_accelerator),
        median(runs, |run| run.moves as f64),
        median(runs, |run| 100.0 * run.worst_account),
        median(runs, |run| 100.0 * run.mean_account),
        median(runs, |run| run.refused as f64),
        highest(|run| run.unreachable.as_secs_f64()),
        highest(|run| 100.0 * run.peak),
    );
}
