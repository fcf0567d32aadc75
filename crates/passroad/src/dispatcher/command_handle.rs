//! The handle by which a command's task gets its actions and reports what became of its relays.

use super::{CommandAction, Dispatcher};
use crate::relay;
use passroad_choice::{CommandIndex, Event};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio_util::sync::CancellationToken;

/// Handle of an admitted command. Dropping it early abandons the command and counts its relays as cancelled.
pub struct CommandHandle {
    pub(super) dispatcher: Arc<Dispatcher>,
    pub(super) command: CommandIndex,
    pub(super) actions: UnboundedReceiver<CommandAction>,
    /// Cancelled when the command ends.
    pub ended: CancellationToken,
    pub(super) open_relays: Vec<bool>, // by relay, whether it is still open
}

impl CommandHandle {
    /// The next action; none once the module has released the command.
    pub async fn next_action(&mut self) -> Option<CommandAction> {
        let action = self.actions.recv().await;
        if let Some(CommandAction::Relay { .. }) = action {
            self.open_relays.push(true);
        }
        action
    }

    /// Index of the latest relay.
    pub fn latest_relay(&self) -> usize {
        self.open_relays.len() - 1
    }

    /// Tells the module how the latest relay's exchange goes on. The command is not released before that has ended.
    pub fn latest_relay_progress(&self) -> relay::Progress {
        let dispatcher = Arc::clone(&self.dispatcher);
        let (command, relay) = (self.command, self.latest_relay());
        relay::Progress::new(move |report| {
            dispatcher.handle_event(match report {
                relay::ProgressReport::Begun => Event::AnswerBegun { command, relay },
                relay::ProgressReport::Paused => Event::AnswerPaused { command, relay },
            })
        })
    }

    pub fn abandon(&self) {
        self.ended.cancel();
        self.dispatcher.handle_event(Event::CommandAbandoned {
            command: self.command,
        });
    }

    pub fn body_not_replayable(&self) {
        self.dispatcher.handle_event(Event::BodyNotReplayable {
            command: self.command,
        });
    }

    pub fn body_complete(&self) {
        self.dispatcher.handle_event(Event::BodyComplete {
            command: self.command,
        });
    }

    pub fn relay_finished(
        &mut self,
        relay: usize,
        result: &relay::ExchangeResult,
        elapsed: Duration,
        concluded: bool,
    ) {
        self.open_relays[relay] = false;
        if concluded {
            self.ended.cancel();
        }
        let (outcome, report) = (result.outcome, result.report);
        self.dispatcher.handle_event(Event::RelayFinished {
            command: self.command,
            relay,
            outcome,
            elapsed,
            concluded,
            report,
        });
    }
}

impl Drop for CommandHandle {
    fn drop(&mut self) {
        if self.actions.is_closed() {
            return;
        }
        self.abandon();
        while let Ok(action) = self.actions.try_recv() {
            self.open_relays
                .extend(matches!(action, CommandAction::Relay { .. }).then_some(true));
        }
        let cancelled = relay::ExchangeResult::from(passroad_choice::Outcome::Cancelled);
        for relay in 0..self.open_relays.len() {
            if self.open_relays[relay] {
                self.relay_finished(relay, &cancelled, Duration::ZERO, true);
            }
        }
    }
}
