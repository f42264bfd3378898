//! Messages that a node doesn't know, or that lie.

mod support;

use std::sync::Arc;

use support::scenario::{accept_and_converge, in_role, settled};
use support::{World, WorldSettings};
use umberpond_config::Delta;
use umberpond_model::{ContentHash, EndpointRecord, Millis, Timestamp, Version};
use umberpond_overlay::interface::{ConnectionId, Decision, Input, MessageFault, Output};
use umberpond_overlay::{
    Hello, OverlayNode, PROTOCOL, PeerMessage, Purpose, Refusal, Role, Transfer, Update,
};
use umberpond_versions::{ComposedStep, StepError};

const STRANGER: ConnectionId = ConnectionId(900_001);

fn settled_world() -> World {
    settled(WorldSettings::new(31, 2, 10), 2)
}

fn record(world: &World) -> EndpointRecord {
    world.nodes.values().next().unwrap().record.clone()
}

fn is_closed(outputs: &[Output<PeerMessage>]) -> bool {
    outputs.iter().any(|output| matches!(output, Output::Close { connection } if *connection == STRANGER))
}

fn decisions(outputs: &[Output<PeerMessage>]) -> Vec<Decision> {
    let decision = |output: &Output<PeerMessage>| match output {
        Output::Decision(decision) => Some(decision.clone()),
        _ => None,
    };
    outputs.iter().filter_map(decision).collect()
}

fn receive(node: &mut OverlayNode, now: Timestamp, message: PeerMessage) -> Vec<Output<PeerMessage>> {
    node.on(now, Input::Received { connection: STRANGER, message })
}

#[test]
fn a_peer_with_another_protocol_is_told_and_left_and_nothing_changes() {
    let mut world = settled_world();
    let reader = in_role(&world, 0, Role::Reader)[0].clone();
    let record = record(&world);
    let now = world.now;
    let node = world.nodes.get_mut(&reader).unwrap().core.as_mut().unwrap();
    let before = node.status();
    let theirs = PROTOCOL + 1;
    let purpose = Purpose::Peer { role: Role::Reader, to_witness: false };
    node.on(now, Input::Accepted { connection: STRANGER });
    let hello = Hello { protocol: theirs, record, purpose };
    let outputs = receive(node, now, PeerMessage::Hello(Arc::new(hello)));
    let expected = Decision::ProtocolUnknown { connection: STRANGER, theirs };
    assert!(decisions(&outputs).contains(&expected));
    let is_told = outputs.iter().any(|output| {
        let refusal = PeerMessage::Refuse(Refusal::Protocol { supported: PROTOCOL });
        matches!(output, Output::Send { message, .. } if *message == refusal)
    });
    assert!(is_told && is_closed(&outputs));
    assert_eq!(node.status(), before);
}

#[test]
fn messages_that_are_unknown_or_unexpected_close_only_their_connection() {
    let mut world = settled_world();
    let reader = in_role(&world, 0, Role::Reader)[0].clone();
    let now = world.now;
    let node = world.nodes.get_mut(&reader).unwrap().core.as_mut().unwrap();
    let before = node.status();
    let unexpected = PeerMessage::Advance { to: Version(99), committed: Version(99) };
    for (message, reason) in
        [(PeerMessage::Unknown, MessageFault::Undecodable), (unexpected, MessageFault::Unexpected)]
    {
        node.on(now, Input::Accepted { connection: STRANGER });
        let outputs = receive(node, now, message);
        let expected = Decision::MessageRefused { connection: STRANGER, reason };
        assert!(decisions(&outputs).contains(&expected) && is_closed(&outputs));
        assert_eq!(node.status(), before);
    }
    accept_and_converge(&mut world, Millis(2_000));
}

#[test]
fn a_step_whose_result_hashes_otherwise_is_refused_and_everything_asked_for() {
    let mut world = settled_world();
    let leaf = in_role(&world, 0, Role::Leaf)[0].clone();
    let now = world.now;
    let node = world.nodes.get_mut(&leaf).unwrap().core.as_mut().unwrap();
    let before = node.status();
    let held = before.held.unwrap();
    let to = held.next();
    let step = ComposedStep { from: held, to, delta: Delta::default(), hash: ContentHash::of(b"another") };
    let transfer = Some(Transfer::Step(Arc::new(step)));
    let update = Arc::new(Update { transfer, committed: Some(to), ..Update::default() });
    // The parent's connection isn't known from outside, so the lie comes over each that may be it.
    let mut outputs = Vec::new();
    for connection in 0..2_000 {
        let message = PeerMessage::Update(Arc::clone(&update));
        outputs.extend(node.on(now, Input::Received { connection: ConnectionId(connection), message }));
    }
    let is_refused = decisions(&outputs).iter().any(|decision| {
        matches!(decision, Decision::TransferRefused { error: StepError::HashMismatch { to: refused, .. } } if *refused == to)
    });
    let asks_for_all = outputs.iter().any(|output| {
        matches!(output, Output::Send { message: PeerMessage::RequestTransfer { held: None }, .. })
    });
    assert!(is_refused && asks_for_all);
    assert_eq!(node.status().held, before.held);
    assert_eq!(node.status().active, before.active);
}
