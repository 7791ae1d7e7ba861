//! What was read of a connection beyond the request that is being answered.

use std::{collections::VecDeque, sync::Arc};

use bytes::BytesMut;
use http::Request;
use tokio::{
    sync::{OwnedSemaphorePermit, watch},
    time::Instant,
};

use super::{
    EarlyService, PipelineBudget, PipelinePlace,
    head::{ParsedHead, RequestHead, is_last, parse_head},
    started::StartedRequest,
};
use crate::{body::CallerBody, server_calls::CallerPeer};

/// Requests that are read ahead on one connection.
const MAX_REQUESTS: usize = 16;
/// Bytes that are read ahead on one connection.
const MAX_BYTES: usize = 64 * 1024;
/// Bytes that are read at a time.
pub(super) const READ_BYTES: usize = 4 * 1024;

/// A request without a body behind the one that is being answered.
pub(super) struct AheadRequest {
    pub(super) head: RequestHead,
    /// Length of the head in bytes.
    length: usize,
    pub(super) is_safe: bool,
    position: usize,
    read_at: Instant,
    /// The request, until it is started.
    request: Option<Request<CallerBody>>,
    pub(super) started: Option<StartedRequest>,
}

impl AheadRequest {
    /// Returns the place of a request that starts in its turn.
    pub(super) fn place(&self) -> PipelinePlace {
        PipelinePlace::in_turn(self.position, self.read_at)
    }
}

/// The bytes and requests that were read ahead on one connection.
pub(super) struct LookAhead {
    service: Arc<dyn EarlyService>,
    budget: Arc<PipelineBudget>,
    caller: CallerPeer,
    bytes: BytesMut,
    /// Room that is taken for the bytes.
    share: Option<OwnedSemaphorePermit>,
    requests: VecDeque<AheadRequest>,
    /// Length of the requests' heads in bytes.
    parsed: usize,
    /// Whether what follows the requests is left to the HTTP library.
    is_opaque: bool,
}

impl LookAhead {
    pub(super) fn new(
        service: Arc<dyn EarlyService>,
        budget: Arc<PipelineBudget>,
        caller: CallerPeer,
    ) -> Self {
        let (bytes, requests) = (BytesMut::new(), VecDeque::new());
        let (share, parsed, is_opaque) = (None, 0, false);
        Self { service, budget, caller, bytes, share, requests, parsed, is_opaque }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Takes room for the next read, unless the connection or the listener has reached its bound.
    pub(super) fn reserve(&mut self) -> bool {
        // The first read of a connection without pipelined requests takes nothing.
        if self.bytes.is_empty() {
            return true;
        }
        let needed = self.bytes.len() + READ_BYTES;
        let taken = self.share.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        if needed <= taken {
            return true;
        }
        let more = (needed <= MAX_BYTES).then(|| self.budget.take_bytes(needed - taken)).flatten();
        match (more, &mut self.share) {
            (None, _) => false,
            (Some(more), Some(share)) => {
                share.merge(more);
                true
            }
            (Some(more), share) => {
                *share = Some(more);
                true
            }
        }
    }

    /// Adds bytes that were read.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Removes bytes that are handed to the HTTP library.
    pub(super) fn consume(&mut self, count: usize) {
        let _ = self.bytes.split_to(count);
        if self.bytes.is_empty() {
            self.bytes = BytesMut::new();
            self.share = None;
        }
    }

    /// Takes the next request, with the length of its head, which is handed out next.
    pub(super) fn take_next(&mut self) -> Option<(AheadRequest, usize)> {
        let request = self.requests.pop_front()?;
        let length = request.length;
        self.parsed -= length;
        Some((request, length))
    }

    /// Returns whether any request was started.
    pub(super) fn has_started(&self) -> bool {
        self.requests.iter().any(|request| request.started.is_some())
    }

    /// Continues to read heads behind one that was handed out. As long as others wait in between, the
    /// head that ends what is read here is still to come.
    pub(super) fn resume(&mut self) {
        self.is_opaque &= !self.requests.is_empty();
    }

    /// Ends all requests, which will not be answered.
    pub(super) fn close(&mut self) {
        self.requests.clear();
        (self.parsed, self.is_opaque) = (0, true);
    }

    /// Reads the heads that have arrived, and starts what may run behind the request that is being
    /// answered.
    pub(super) fn start_safe(&mut self, is_current_safe: impl FnOnce() -> bool) {
        self.parse();
        let is_waiting = self.requests.iter().any(|request| request.started.is_none());
        if !is_waiting || !self.service.is_open() || !is_current_safe() {
            return;
        }
        let safe = self.requests.iter_mut().take_while(|request| request.is_safe);
        for request in safe.filter(|request| request.started.is_none()) {
            let Some(permit) = self.budget.take_start() else { return };
            let Some(mut started) = request.request.take() else { return };
            let (sender, turn) = watch::channel(false);
            let place = PipelinePlace::ahead(request.position, turn, self.budget.clone());
            started.extensions_mut().insert(place);
            let task = tokio::spawn(self.service.run(started, self.caller));
            request.started = Some(StartedRequest::new(task, sender, permit));
        }
    }

    /// Reads the heads that have arrived.
    fn parse(&mut self) {
        while !self.is_opaque && self.requests.len() < MAX_REQUESTS {
            let rest = &self.bytes[self.parsed..];
            let (request, length) = match parse_head(rest) {
                _ if rest.is_empty() => return,
                ParsedHead::Partial => return,
                ParsedHead::Whole(request, length) => (request, length),
                ParsedHead::Opaque => {
                    self.is_opaque = true;
                    return;
                }
            };
            // What follows is not answered.
            self.is_opaque = is_last(request.headers());
            let head = RequestHead::new(&request);
            self.parsed += length;
            self.requests.push_back(AheadRequest {
                is_safe: self.service.is_safe(&head),
                head,
                length,
                position: self.requests.len() + 1,
                read_at: Instant::now(),
                request: Some(*request),
                started: None,
            });
        }
    }
}
