//! How a small record's load was spread.

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

fn forward_arrived(at: f64, pod: u32, sidecar: u32) -> RecordLine {
    let (pod, sidecar, work) = (PodId(pod), SidecarId(sidecar), Duration::ZERO);
    line(
        at,
        Event::ForwardArrived {
            pod,
            sidecar,
            attempt: AttemptKey::new(RequestId(1), 0),
            class: 0,
            work,
        },
    )
}

/// One pod twice as strong as another gets three times as much; a third nothing; a fourth ran too briefly to count.
#[test]
fn load_is_measured_by_capacity() {
    let mut lines = vec![
        pod_started(1, 2.0),
        pod_started(2, 1.0),
        pod_started(3, 1.0),
        pod_started(4, 1.0),
    ];
    lines.extend([
        forward_arrived(0.5, 1, 1),
        forward_arrived(0.7, 1, 2),
        forward_arrived(1.0, 4, 1),
        forward_arrived(2.1, 1, 1),
        forward_arrived(2.5, 2, 1),
    ]);
    lines.extend([
        line(3.0, Event::PodExited { pod: PodId(4) }),
        line(8.0, Event::End {}),
    ]);
    let spread = balance(&lines);
    // Four forwards on a capacity of four: one each, and the first has one and a half.
    assert!((spread.highest_over_mean - 1.5).abs() < 1e-9, "{spread:?}");
    assert_eq!(spread.mean_sidecars, 4.0 / 3.0);
    assert_eq!(spread.max_sidecars, 2);
    assert_eq!(spread.unused_pods, 1);
    let courses = load_by_second(&lines);
    let of = |pod: u32| {
        courses[&PodId(pod)]
            .iter()
            .map(|point| point.load)
            .collect::<Vec<_>>()
    };
    assert_eq!(of(1), [1.0, 0.0, 0.5, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0]);
    assert_eq!((of(3).len(), of(4)), (9, vec![0.0, 1.0, 0.0, 0.0]));
}
