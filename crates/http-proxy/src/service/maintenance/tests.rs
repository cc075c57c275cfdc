use super::drain::DrainState;
use super::lease_client::LeaseClient;
use super::list_commands::create_list;
use super::outbox::Outbox;
use super::pending::{PendingRequests, RetryContext};
use super::request::{Effect, RequestError};
use super::{ConsensusRole, EndpointContext, MaintenanceRequest, WorkReport};
use crate::endpoint_list::EndpointRecord;
use crate::service::direct_message::{DirectMessage, MAINTENANCE};
use limewing_consensus::{Learner, NodeId};
use limewing_maintenance::{Command, Identifier, MaintenanceSchedule, Message};
use limewing_settings::{MachineSelector, WorkList};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

const LIST: Identifier = Identifier(9);

fn endpoint(machine: &str, port: u16) -> EndpointRecord {
    EndpointRecord {
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        draining: false,
        build: 1,
        weight: 1.5,
        started: None,
        zone: "east".into(),
        cell: 0,
        machine_type: "plain".into(),
        machine: machine.into(),
    }
}

fn work_list(machines: &[&str]) -> WorkList {
    serde_json::from_value(serde_json::json!({
        "name": "kernel",
        "machines": machines,
        "takes": 60.0,
        "stalls_after": 300.0,
        "limits": {"out": 2, "ready_part": 0.5},
        "windows": [{"from": 10.5, "to": 20.0}],
    }))
    .unwrap()
}

fn machine_names(commands: &[Command]) -> Vec<String> {
    let mut names = Vec::new();
    for command in commands {
        if let Command::AddMachines { machines, .. } = command {
            names.extend(machines.iter().map(|machine| machine.name.clone()));
        }
    }
    names
}

#[test]
fn a_list_is_created_with_its_machines_in_batches_of_eight() {
    let names: Vec<String> = (0..20).map(|number| format!("node-{number:02}")).collect();
    let endpoints: Vec<EndpointRecord> = names
        .iter()
        .zip(9000..)
        .map(|(name, port)| endpoint(name, port))
        .collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let commands = create_list(LIST, &work_list(&names), &endpoints).unwrap();
    assert!(matches!(
        &commands[0],
        Command::CreateList { list: LIST, machine_count: 20, config }
            if config.work_duration_ms == 60_000 && config.windows[0].start_ms == 10_500
    ));
    let batches: Vec<(u16, usize)> = commands[1..]
        .iter()
        .map(|command| match command {
            Command::AddMachines {
                first, machines, ..
            } => (*first, machines.len()),
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(batches, [(0, 8), (8, 8), (16, 4)]);
    assert_eq!(machine_names(&commands), names);
}

#[test]
fn a_machines_capacity_is_the_sum_over_its_pods() {
    let endpoints = [endpoint("node-0", 9000), endpoint("node-0", 9001)];
    let commands = create_list(LIST, &work_list(&["node-0"]), &endpoints).unwrap();
    let Command::AddMachines { machines, .. } = &commands[1] else {
        panic!("{commands:?}");
    };
    assert_eq!(machines.len(), 1);
    assert!((machines[0].capacity - 3.0).abs() < f64::EPSILON);
}

#[test]
fn a_list_selects_machines_by_zone_type_and_build() {
    let mut other_zone = endpoint("node-1", 9001);
    other_zone.zone = "west".into();
    let mut other_type = endpoint("node-2", 9002);
    other_type.machine_type = "large".into();
    let mut other_build = endpoint("node-3", 9003);
    other_build.build = 2;
    let endpoints = [
        endpoint("node-0", 9000),
        other_zone,
        other_type,
        other_build,
    ];
    let mut list = work_list(&[]);
    list.select = Some(MachineSelector {
        zone: Some("east".into()),
        machine_type: Some("plain".into()),
        build: Some(1),
    });
    let commands = create_list(LIST, &list, &endpoints).unwrap();
    assert_eq!(machine_names(&commands), ["node-0"]);
    // Named machines are added to the selected ones.
    list.machines = vec!["node-3".into()];
    let commands = create_list(LIST, &list, &endpoints).unwrap();
    assert_eq!(machine_names(&commands), ["node-0", "node-3"]);
}

#[test]
fn a_list_of_unknown_machines_is_rejected() {
    let error = create_list(
        LIST,
        &work_list(&["node-0", "node-7"]),
        &[endpoint("node-0", 9000)],
    );
    let error = error.unwrap_err().to_string();
    assert_eq!(
        error,
        "machines that are not on the node list: [\"node-7\"]"
    );
}

#[test]
fn a_list_that_selects_nothing_is_rejected() {
    let mut list = work_list(&[]);
    list.select = Some(MachineSelector {
        zone: Some("north".into()),
        ..MachineSelector::default()
    });
    let error = create_list(LIST, &list, &[endpoint("node-0", 9000)]).unwrap_err();
    assert_eq!(error, RequestError::NoMachineSelected);
}

#[test]
fn a_machine_that_exceeds_the_command_size_is_rejected() {
    let mut endpoint = endpoint("node-0", 9000);
    endpoint.machine_type = "x".repeat(10_000);
    let error = create_list(LIST, &work_list(&["node-0"]), &[endpoint]).unwrap_err();
    assert_eq!(error, RequestError::MachineTooLong);
}

fn error_text(request: &MaintenanceRequest) -> String {
    let error = request.effect(&MaintenanceSchedule::default(), &[]);
    error.unwrap_err().to_string()
}

/// The messages are part of the HTTP API.
#[test]
fn requests_about_unknown_items_are_rejected() {
    let report = MaintenanceRequest::ReportWork {
        grant: 4,
        report: WorkReport::Began,
    };
    assert_eq!(error_text(&MaintenanceRequest::PauseList(5)), "no list 5");
    assert_eq!(error_text(&MaintenanceRequest::ResumeList(6)), "no list 6");
    assert_eq!(
        error_text(&MaintenanceRequest::WithdrawList(7)),
        "no list 7"
    );
    assert_eq!(
        error_text(&MaintenanceRequest::SidecarGone("s3".into())),
        "no sidecar s3"
    );
    assert_eq!(error_text(&report), "no grant 4");
    for name in [String::new(), "x".repeat(33)] {
        let request = MaintenanceRequest::AddVoter(name);
        assert_eq!(
            error_text(&request),
            "expected a sidecar's name of 1 to 32 letters"
        );
    }
}

#[test]
fn a_voter_change_is_not_a_command() {
    let request = MaintenanceRequest::RemoveVoter("s3".into());
    let effect = request.effect(&MaintenanceSchedule::default(), &[]);
    let expected = Effect::ChangeVoter {
        name: "s3".into(),
        is_voter: false,
    };
    assert_eq!(effect, Ok(expected));
}

#[test]
fn all_machines_are_closed_before_the_first_update() {
    assert!(DrainState::new(Duration::ZERO).is_closed("node-0"));
}

#[test]
fn a_machine_is_busy_while_one_of_its_pods_is_busy() {
    let endpoints = [
        endpoint("node-0", 9000),
        endpoint("node-0", 9001),
        endpoint("node-1", 9002),
    ];
    let busy_addresses = || BTreeSet::from([endpoints[1].address]);
    let context = EndpointContext {
        endpoints: &endpoints,
        busy_addresses: &busy_addresses,
    };
    assert_eq!(context.busy_machines(), BTreeSet::from(["node-0"]));
}

#[test]
fn all_candidates_are_asked_after_two_unanswered_requests() {
    let now = Duration::from_secs(1);
    let mut client = LeaseClient::new(now, Duration::from_secs(2));
    let all = || vec!["s1".to_owned(), "s2".to_owned()];
    assert_eq!(client.receivers(all()), all());
    let request = client.begin_request(now);
    client.granted_by("s2", request, 0);
    assert!(client.lease().is_held(now, 0));
    assert_eq!(client.receivers(all()), ["s2"]);
    assert_eq!(client.receivers(all()), ["s2"]);
    assert_eq!(client.receivers(all()), all());
}

struct LearnerRetries {
    pending: PendingRequests,
    role: ConsensusRole,
    outbox: Outbox,
}

impl LearnerRetries {
    fn new() -> Self {
        let id = NodeId {
            name: "s9".into(),
            incarnation: 1,
        };
        let voters = vec!["s1".to_owned()];
        let learner = Learner::new(Duration::ZERO, id, voters, Duration::from_secs(1));
        Self {
            pending: PendingRequests::new(Duration::ZERO),
            role: ConsensusRole::Learner(Box::new(learner)),
            outbox: Outbox::default(),
        }
    }

    fn retry(&mut self, now_ms: u64) -> Vec<DirectMessage> {
        let context = RetryContext {
            role: &mut self.role,
            schedule: &MaintenanceSchedule::default(),
            contact: Some("s1"),
            outbox: &mut self.outbox,
        };
        self.pending.retry(Duration::from_millis(now_ms), context);
        self.outbox.take()
    }
}

fn to_voter(message: &Message) -> DirectMessage {
    DirectMessage::new("s1".into(), MAINTENANCE, &message.encode())
}

#[test]
fn a_learner_proposes_a_command_again_until_it_expires() {
    let mut learner = LearnerRetries::new();
    let command = Command::CreateList {
        list: LIST,
        config: match &create_list(LIST, &work_list(&["node-0"]), &[endpoint("node-0", 9000)])
            .unwrap()[0]
        {
            Command::CreateList { config, .. } => config.clone(),
            other => panic!("{other:?}"),
        },
        machine_count: 1,
    };
    let propose = to_voter(&Message::Propose {
        command: command.encode(),
    });
    learner.pending.add_commands(Duration::ZERO, vec![command]);
    assert_eq!(learner.retry(0), std::slice::from_ref(&propose));
    assert!(learner.retry(299).is_empty());
    assert_eq!(learner.retry(300), std::slice::from_ref(&propose));
    assert_eq!(learner.retry(19_999), [propose]);
    assert!(learner.retry(20_300).is_empty());
}

#[test]
fn a_learner_sends_a_voter_change_once() {
    let mut learner = LearnerRetries::new();
    let change = |is_voter| Message::ChangeVote {
        name: "s4".into(),
        is_voter,
    };
    let now = Duration::ZERO;
    learner.pending.add_voter_change(now, "s4".into(), false);
    learner.pending.add_voter_change(now, "s4".into(), true);
    assert_eq!(learner.retry(0), [to_voter(&change(true))]);
    assert!(learner.retry(300).is_empty());
}

#[test]
fn at_most_256_commands_are_pending() {
    let mut pending = PendingRequests::new(Duration::ZERO);
    let command = Command::PauseList { list: LIST };
    pending.add_commands(Duration::ZERO, vec![command; 255]);
    assert!(pending.has_room_for(1));
    assert!(!pending.has_room_for(2));
}
