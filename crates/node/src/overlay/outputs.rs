//! Does what the core asks for.

use std::collections::VecDeque;

use umberpond_overlay::PeerMessage;
use umberpond_overlay::interface::{ConnectionId, Decision, Input, Output};
use umberpond_telemetry::{Event, VersionStage};

use super::actor::OverlayState;
use super::connection::{self, ConnectionState};
use crate::platform::PlatformMessage;
use crate::role_name::role_name;

impl OverlayState {
    pub(super) fn perform(&mut self, output: Output<PeerMessage>, inputs: &mut VecDeque<Input<PeerMessage>>) {
        match output {
            Output::Connect { to } => connection::connect(&self.context, to),
            Output::Send { connection, message } => self.send(connection, message, inputs),
            Output::Close { connection } => self.close(connection),
            Output::Platform(request) => {
                if let Some(platform) = &self.platform {
                    // The platform actor ends with the node only.
                    let _ = platform.send_message(PlatformMessage::Request(request));
                }
            }
            Output::Activate { version, snapshot } => {
                // Only what is committed is put in force.
                self.commit_index.raise(version);
                self.activation.activate(version, &snapshot);
            }
            Output::Endpoints(records) => self.activation.endpoints_changed(records),
            Output::WakeAt(at) => {
                let instant = self.environment.clock().instant(at);
                self.wake.set(instant, &self.context.actor);
            }
            Output::Decision(decision) => {
                self.recording.decision(&decision);
                self.tell(&decision);
            }
        }
    }

    /// A peer that does not keep up is cut off: the core hears of the end at once, the tasks end by themselves.
    fn send(
        &mut self,
        connection: ConnectionId,
        message: PeerMessage,
        inputs: &mut VecDeque<Input<PeerMessage>>,
    ) {
        let Some(ConnectionState::Open(handle)) = self.connections.get(&connection) else { return };
        if handle.send(message).is_err() {
            self.connections.remove(&connection);
            self.count_connections();
            inputs.push_back(Input::Disconnected { connection });
        }
    }

    fn close(&mut self, connection: ConnectionId) {
        if let Some(state) = self.connections.get_mut(&connection) {
            *state = ConnectionState::Closing;
        }
    }

    fn tell(&self, decision: &Decision) {
        let telemetry = &self.environment.telemetry;
        let metrics = telemetry.metrics();
        match decision {
            Decision::RoleChanged { from, to, .. } => {
                metrics.set_role(role_name(*from), false);
                metrics.set_role(role_name(*to), true);
                telemetry.emit(Event::RoleLost { role: role_name(*from) });
                telemetry.emit(Event::RoleGained { role: role_name(*to) });
            }
            Decision::Committed { version } => {
                self.commit_index.raise(*version);
                metrics.set_version(VersionStage::Committed, *version);
                telemetry.emit(Event::VersionCommitted { version: *version });
            }
            Decision::FloorProved { floor } => {
                metrics.set_version(VersionStage::Floor, *floor);
                telemetry.emit(Event::FloorProved { version: *floor });
            }
            Decision::Superseded { by } => telemetry.emit(Event::Superseded { by: *by }),
            Decision::ProtocolUnknown { theirs, .. } => {
                let reason = format!("the peer speaks protocol {theirs}");
                telemetry.emit(Event::ControlMessageRefused { reason });
            }
            Decision::MessageRefused { reason, .. } => {
                telemetry.emit(Event::ControlMessageRefused { reason: format!("{reason:?}") });
            }
            other => telemetry.emit(Event::OverlayDecision { decision: format!("{other:?}") }),
        }
    }
}
