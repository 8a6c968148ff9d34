//! Reports of cold endpoints that are late, double or missing.

use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_serving::ColdEndpoints;
use mulberrywell_wire::serving::{EndpointStatus, ServingConfig, ServingService};
use rstest::rstest;

fn cold_endpoints() -> ColdEndpoints {
    let mut cold = ColdEndpoints::default();
    cold.set_config(&ServingConfig {
        version: 1,
        services: vec![ServingService {
            name: Bytes::from_static(b"s"),
            cold_start_ms: 3_000,
            cold_milli_per_s: 8_000,
            ..ServingService::default()
        }],
        ..ServingConfig::default()
    });
    cold
}

fn report(born_ms: u64, sequence: u64, cold_left_ms: Option<u64>) -> EndpointStatus {
    EndpointStatus {
        id: Bytes::from_static(b"e"),
        service: Bytes::from_static(b"s"),
        born_ms,
        sequence,
        cold_left_ms,
        ..EndpointStatus::default()
    }
}

/// Reports as (time of arrival, start, sequence, time left), and the time at which the
/// endpoint is warm. Guards against an endpoint that is warm too early by an old report,
/// or cold for ever by a late one.
#[rstest]
#[case::one(&[(0, 5, 1, Some(3_000))], 3_000)]
#[case::ended_early(&[(0, 5, 1, Some(3_000)), (1_200, 5, 2, Some(0))], 1_200)]
#[case::older_ignored(&[(0, 5, 2, Some(3_000)), (100, 5, 1, Some(0))], 3_000)]
#[case::older_start_ignored(&[(0, 6, 1, Some(3_000)), (100, 5, 9, Some(0))], 3_000)]
#[case::newer_start(&[(0, 5, 9, Some(0)), (100, 6, 1, Some(3_000))], 3_100)]
#[case::same_twice_late(&[(0, 5, 1, Some(3_000)), (500, 5, 1, Some(2_600))], 3_100)]
#[case::late_corrected(&[(900, 5, 1, Some(3_000)), (1_200, 5, 2, Some(1_800))], 3_000)]
#[case::cold_again(&[(0, 5, 1, Some(0)), (1_200, 5, 2, Some(900))], 2_100)]
#[case::no_report(&[(0, 5, 1, None)], 3_000)]
#[case::report_missing_later(&[(0, 5, 1, Some(1_000)), (500, 5, 2, None)], 1_000)]
fn cold_end_by_reports(#[case] reports: &[(u64, u64, u64, Option<u64>)], #[case] end_ms: u64) {
    let mut cold = cold_endpoints();
    cold.record_traffic();
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut last = report(0, 0, None);
    for (ms, born_ms, sequence, left) in reports {
        let status = report(*born_ms, *sequence, *left);
        cold.record_status(at(*ms), &status);
        last = if status.born_ms >= last.born_ms {
            status
        } else {
            last
        };
    }
    assert_eq!(cold.rate(at(end_ms - 1), &last), Some(8_000));
    assert_eq!(cold.rate(at(end_ms), &last), None);
}

/// Guards against endpoints that are cold when the whole system starts.
#[test]
fn no_report_before_traffic_warm() {
    let mut cold = cold_endpoints();
    let now = Instant::now();
    cold.record_status(now, &report(5, 1, None));
    assert_eq!(cold.rate(now, &report(5, 1, None)), None);
}
