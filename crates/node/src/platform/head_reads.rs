//! Reads of the head for version floors. One read answers every question that was asked before it began.

use std::collections::VecDeque;

use ractor::ActorRef;
use rand_chacha::ChaCha8Rng;
use tokio::task::AbortHandle;
use tokio::time::sleep;
use umberpond_acceptance::ChainError;
use umberpond_acceptance::chain::HeadSeen;
use umberpond_model::{Nonce, Version};
use umberpond_overlay::interface::PlatformEvent;
use umberpond_platform::Backoff;
use umberpond_telemetry::Event;

use super::PlatformMessage;
use super::actor::PlatformContext;
use super::backoff::PLATFORM_BACKOFF;

/// Questions kept while the platform does not answer; the oldest are dropped, since the overlay asks again.
const MAX_QUESTIONS: usize = 64;

/// The questions and the read under way.
pub(super) struct HeadReads {
    context: PlatformContext,
    actor: ActorRef<PlatformMessage>,
    waiting: VecDeque<Nonce>,
    asked: VecDeque<Nonce>,
    task: Option<AbortHandle>,
    backoff: Backoff,
}

impl HeadReads {
    pub(super) fn new(context: PlatformContext, actor: ActorRef<PlatformMessage>) -> Self {
        Self {
            context,
            actor,
            waiting: VecDeque::new(),
            asked: VecDeque::new(),
            task: None,
            backoff: Backoff::new(PLATFORM_BACKOFF),
        }
    }

    /// Notes a question; the read that answers it begins now or after the one under way.
    pub(super) fn ask(&mut self, nonce: Nonce) {
        self.waiting.push_back(nonce);
        while self.waiting.len() > MAX_QUESTIONS {
            self.waiting.pop_front();
        }
        if self.task.is_none() {
            self.read();
        }
    }

    fn read(&mut self) {
        self.asked = std::mem::take(&mut self.waiting);
        let chain = self.context.chain();
        let actor = self.actor.clone();
        let read = async move {
            let result = chain.read_head().await;
            // An actor that is gone needs no telling.
            let _ = actor.send_message(PlatformMessage::HeadRead(result));
        };
        self.task = Some(tokio::spawn(read).abort_handle());
    }

    /// A read has ended: answers its questions, or keeps them for the next read.
    pub(super) fn ended(&mut self, result: Result<Option<HeadSeen>, ChainError>, rng: &mut ChaCha8Rng) {
        self.task = None;
        let metrics = self.context.telemetry.metrics();
        match result {
            Ok(seen) => {
                metrics.platform_request("read-head", "ok");
                self.backoff.reset();
                let version = seen.map_or(Version::GENESIS, |seen| seen.head.version);
                for nonce in self.asked.drain(..) {
                    self.context.tell(PlatformEvent::HeadVersion { nonce, version });
                }
                if !self.waiting.is_empty() {
                    self.read();
                }
            }
            Err(error) => {
                metrics.platform_request("read-head", "failed");
                let reason = error.to_string();
                self.context.telemetry.emit(Event::PlatformUnavailable { operation: "read-head", reason });
                self.context.tell(PlatformEvent::Unavailable);
                self.retry(rng);
            }
        }
    }

    fn retry(&mut self, rng: &mut ChaCha8Rng) {
        let mut questions = std::mem::take(&mut self.asked);
        questions.append(&mut self.waiting);
        self.waiting = questions;
        let wait = self.backoff.next_wait(rng, None);
        let actor = self.actor.clone();
        let task = async move {
            sleep(wait).await;
            // An actor that is gone needs no telling.
            let _ = actor.send_message(PlatformMessage::ReadHeadAgain);
        };
        self.task = Some(tokio::spawn(task).abort_handle());
    }

    /// The wait after a failure is over.
    pub(super) fn again(&mut self) {
        self.task = None;
        if !self.waiting.is_empty() {
            self.read();
        }
    }
}

impl Drop for HeadReads {
    fn drop(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }
}
