//! The place of a request among those of its connection, and the wait of its answer for its turn.

use std::{sync::Arc, time::Duration};

use bytes::BytesMut;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::{sync::watch, time::Instant};

use super::budget::PipelineBudget;
use crate::{
    answer::error_answer,
    body::{BodyError, PrefixedBody, ProxyBody, error_chain, whole_body},
    outcome::{RefusalKind, RequestOutcome},
};

/// Largest answer that is read while it waits for its turn, in bytes. Until it has been read, it
/// would be cut at its deadline.
const MAX_KEPT_BYTES: u64 = 64 * 1024;

/// When a request takes its turn.
#[derive(Clone, Debug)]
enum RequestTurn {
    /// It has waited for its turn before it was started.
    Taken(Duration),
    /// Its answer waits.
    Awaited(watch::Receiver<bool>, Arc<PipelineBudget>),
}

/// The place of a pipelined request, an extension of its head.
#[derive(Clone, Debug)]
pub(crate) struct PipelinePlace {
    /// Number of requests in front of it when it was read.
    pub(crate) position: usize,
    turn: RequestTurn,
}

impl PipelinePlace {
    /// Creates the place of a request that was read at `read_at` and starts now, in its turn.
    pub(super) fn in_turn(position: usize, read_at: Instant) -> Self {
        Self { position, turn: RequestTurn::Taken(read_at.elapsed()) }
    }

    /// Creates the place of a request that starts ahead of its turn.
    pub(super) fn ahead(
        position: usize,
        turn: watch::Receiver<bool>,
        budget: Arc<PipelineBudget>,
    ) -> Self {
        Self { position, turn: RequestTurn::Awaited(turn, budget) }
    }

    /// Holds an answer until its turn, and returns it with the time that its request has waited.
    pub(crate) async fn await_turn(
        self,
        response: Response<ProxyBody>,
    ) -> (Response<ProxyBody>, Duration) {
        let (mut turn, budget) = match self.turn {
            RequestTurn::Taken(waited) => return (response, waited),
            RequestTurn::Awaited(turn, budget) => (turn, budget),
        };
        let ready_at = Instant::now();
        let size = response.body().size_hint().exact();
        let size = size.filter(|size| (1..=MAX_KEPT_BYTES).contains(size));
        // The size is at most `MAX_KEPT_BYTES`.
        let share = size.and_then(|size| budget.take_bytes(size as usize));
        let response = match share.is_some() {
            true => read_until(response, &mut turn).await,
            false => response,
        };
        // Without a sender the connection has ended, and nobody receives the answer.
        let _ = turn.wait_for(|is_taken| *is_taken).await;
        (response, ready_at.elapsed())
    }
}

/// Reads the body of an answer as far as possible before its turn. One that breaks off is replaced,
/// since nothing of it has been sent.
async fn read_until(
    response: Response<ProxyBody>,
    turn: &mut watch::Receiver<bool>,
) -> Response<ProxyBody> {
    let (parts, mut body) = response.into_parts();
    let mut read = BytesMut::new();
    let rest = loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            _ = turn.wait_for(|is_taken| *is_taken) => break Ok(Some(body)),
        };
        match frame {
            None => break Ok(None),
            Some(Err(err)) => break Err(err),
            Some(Ok(frame)) => read.extend(frame.into_data().ok()),
        }
    };
    let read = whole_body(read.freeze());
    match rest {
        Ok(None) => Response::from_parts(parts, read),
        Ok(Some(rest)) => Response::from_parts(parts, PrefixedBody::new(read, rest).boxed_unsync()),
        Err(err) => replace_broken(&err),
    }
}

/// Returns the answer in place of one that broke off.
fn replace_broken(err: &BodyError) -> Response<ProxyBody> {
    log::debug!("proxy: an answer broke off before its turn: {}.", error_chain(err));
    error_answer(RefusalKind::AnswerLost, RequestOutcome::Unknown)
}
