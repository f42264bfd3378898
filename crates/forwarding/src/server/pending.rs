//! Requests of one connection whose replies have not been written yet, in the order of their arrival.

use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use super::control::OpenRequest;
use crate::outbound::Reply;

type ReplyFuture = Pin<Box<dyn Future<Output = Reply> + Send>>;

enum State {
    Running(ReplyFuture),
    Done(Option<Reply>),
}

struct Pending {
    state: State,
    method: bytes::Bytes,
    open: OpenRequest,
}

/// The next reply to write.
pub(super) struct Ready {
    pub(super) reply: Reply,
    pub(super) method: bytes::Bytes,
    /// Counts the request as open until the reply is written.
    pub(super) open: OpenRequest,
}

/// Requests of one connection, handled concurrently and replied to in order.
#[derive(Default)]
pub(super) struct PendingRequests {
    requests: VecDeque<Pending>,
}

impl PendingRequests {
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    pub(super) fn push(
        &mut self,
        handling: impl Future<Output = Reply> + Send + 'static,
        method: bytes::Bytes,
        open: OpenRequest,
    ) {
        self.requests.push_back(Pending { state: State::Running(Box::pin(handling)), method, open });
    }

    /// Polls all requests; returns the reply to the first one when it is ready.
    pub(super) async fn next(&mut self) -> Ready {
        std::future::poll_fn(|context| self.poll_next(context)).await
    }

    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Ready> {
        for pending in &mut self.requests {
            if let State::Running(handling) = &mut pending.state
                && let Poll::Ready(reply) = handling.as_mut().poll(context)
            {
                pending.state = State::Done(Some(reply));
            }
        }
        let is_ready = matches!(self.requests.front(), Some(Pending { state: State::Done(Some(_)), .. }));
        if !is_ready {
            return Poll::Pending;
        }
        let Some(Pending { state: State::Done(Some(reply)), method, open }) = self.requests.pop_front()
        else {
            return Poll::Pending;
        };
        Poll::Ready(Ready { reply, method, open })
    }
}
