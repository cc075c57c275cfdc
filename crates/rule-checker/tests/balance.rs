//! Load balance figures of a small record.

use limewing_rule_checker::balance::{balance, load_by_second};
use limewing_rule_checker::record::{AttemptKey, Event, PodId, RecordLine, RequestId, SidecarId};
use std::time::Duration;

fn line(at: f64, event: Event) -> RecordLine {
    RecordLine {
        at: Duration::from_secs_f64(at),
        event,
    }
}

fn pod_started(pod: u32, capacity: f64) -> RecordLine {
    line(
        0.0,
        Event::PodStarted {
            pod: PodId(pod),
            build: 1,
            zone: 0,
            cell: 0,
            capacity,
            warming_up: false,
        },
    )
}

fn attempt_arrived(at: f64, pod: u32, sidecar: u32) -> RecordLine {
    let (pod, sidecar, work) = (PodId(pod), SidecarId(sidecar), Duration::ZERO);
    line(
        at,
        Event::AttemptArrived {
            pod,
            sidecar,
            attempt: AttemptKey::new(RequestId(1), 0),
            class: 0,
            work,
        },
    )
}

/// A pod with twice the capacity of another receives three times as many attempts, a third pod none, and a fourth runs too briefly
/// to be counted.
#[test]
fn load_is_measured_by_capacity() {
    let mut lines = vec![
        pod_started(1, 2.0),
        pod_started(2, 1.0),
        pod_started(3, 1.0),
        pod_started(4, 1.0),
    ];
    lines.extend([
        attempt_arrived(0.5, 1, 1),
        attempt_arrived(0.7, 1, 2),
        attempt_arrived(1.0, 4, 1),
        attempt_arrived(2.1, 1, 1),
        attempt_arrived(2.5, 2, 1),
    ]);
    lines.extend([
        line(3.0, Event::PodExited { pod: PodId(4) }),
        line(8.0, Event::End {}),
    ]);
    let spread = balance(&lines);
    // Four attempts on four cores: the mean is one per core, and the first pod has one and a half.
    assert!((spread.max_over_mean - 1.5).abs() < 1e-9, "{spread:?}");
    assert_eq!(spread.mean_sidecars, 4.0 / 3.0);
    assert_eq!(spread.max_sidecars, 2);
    assert_eq!(spread.unused_pods, 1);
    let loads = load_by_second(&lines);
    let loads_of = |pod: u32| {
        loads[&PodId(pod)]
            .iter()
            .map(|point| point.load)
            .collect::<Vec<_>>()
    };
    assert_eq!(loads_of(1), [1.0, 0.0, 0.5, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0]);
    assert_eq!(
        (loads_of(3).len(), loads_of(4)),
        (9, vec![0.0, 1.0, 0.0, 0.0])
    );
}
