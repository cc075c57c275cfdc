use super::*;
use crate::interface::{PodId, RequestId};
use crate::test_support::{at, balancer, context, request};
use rstest::rstest;

#[rstest]
#[case::one_open_request(1, 0.1, 0, 0.0)]
#[case::many_open_requests(60, 0.1, 0, 1.0)]
#[case::high_latency(0, 1.5, 0, 1.0)]
#[case::high_latency_of_another_tenant(0, 1.5, 1, 0.0)]
fn overload_is_detected_from_open_requests_or_latency(
    #[case] open: u64,
    #[case] latency: f64,
    #[case] tenant: u32,
    #[case] expected: f64,
) {
    let mut balancer = balancer(3);
    for id in 1..=open {
        let open = OpenRequest {
            attempts_in_flight: 1,
            last_pod: Some(PodId(0)),
            ..OpenRequest::new(&request(id), at(4.9))
        };
        balancer.requests.insert(RequestId(id), open);
    }
    for _ in 0..5 {
        balancer
            .overload
            .tenant_latency
            .entry(Some(TenantId(tenant)))
            .or_default()
            .add(latency, at(5.0), TENANT_LATENCY_DECAY, 5.0);
    }
    let overload = balancer.overload.overload(
        Some(TenantId(0)),
        balancer.requests.values(),
        &balancer.table,
        &context(5.1),
    );
    assert_eq!(overload, expected);
}
