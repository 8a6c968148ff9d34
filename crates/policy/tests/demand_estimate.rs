//! Demand estimates rise fast, fall slowly and are not biased by noise.

use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_policy::{mix_bits, DemandEstimator, DemandSettings};
use rstest::rstest;

const MODEL: &[u8] = b"payroll";

/// Adds one sample per one-second window and returns the estimate after each.
fn estimates(samples: impl Iterator<Item = u64>) -> Vec<f64> {
    let mut now = Instant::now();
    let mut estimator = DemandEstimator::new(DemandSettings::default(), now);
    let mut out = Vec::new();
    let model = Bytes::from_static(MODEL);
    samples
        .map(|tokens| {
            estimator.add_tokens(&model, tokens);
            now += Duration::from_secs(1);
            estimator.estimate(now, &mut out);
            out.first().map_or(0.0, |item| item.tokens_per_second)
        })
        .collect()
}

#[test]
fn estimate_rises_fast() {
    let samples = (0..120).map(|second| if second < 100 { 100 } else { 1_000 });
    let estimates = estimates(samples);
    assert!((estimates[99] - 100.0).abs() < 10.0, "{}", estimates[99]);
    assert!(estimates[106] > 700.0, "{}", estimates[106]);
}

#[test]
fn estimate_falls_slowly() {
    let samples = (0..400).map(|second| if second < 300 { 1_000 } else { 0 });
    let estimates = estimates(samples);
    assert!(estimates[315] > 700.0, "{}", estimates[315]);
    assert!(estimates[399] < 300.0, "{}", estimates[399]);
}

/// Each window has a request of 600 tokens with a probability of one in `every`.
#[rstest]
#[case::rare(10)]
#[case::frequent(2)]
fn estimate_unbiased_by_noise(#[case] every: u64) {
    let mut sum = 0.0;
    for seed in 0..40 {
        let samples = (0..300).map(|second| {
            let draw = mix_bits(mix_bits(seed) ^ second) % every;
            if draw == 0 {
                600
            } else {
                0
            }
        });
        sum += estimates(samples)[299];
    }
    let (mean, expected) = (sum / 40.0, 600.0 / every as f64);
    assert!(
        (mean / expected - 1.0).abs() < 0.35,
        "{mean} for {expected}"
    );
}
