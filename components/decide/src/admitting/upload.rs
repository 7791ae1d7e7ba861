//! Admission of uploads that have yet to come over the instance's link.

use std::time::Duration;

use rand::Rng;

use crate::admitting::{AdmissionGuard, GuardRequest, Refusal, RefusalReason, urgent::misses_goal};

/// What the instance's link has to carry before an upload.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkBacklog {
    /// Time until the upload may be sent.
    pub wait: Duration,
    /// Time that the upload takes from then on.
    pub transfer_time: Duration,
    /// A time that few uploads exceed from then on.
    pub high_transfer_time: Duration,
    /// Uploads on their way here that have no slot yet.
    pub pending: u32,
}

impl AdmissionGuard {
    /// Decides whether an upload is worth receiving over the link. Once received, it is offered to
    /// the guard like any other request.
    ///
    /// A link can carry fewer uploads than its server could run. If uploads were received whole
    /// before anything is decided, those that are refused would use up the link as well, the others
    /// would come too late, and short calls would queue behind all of them while slots are free. An
    /// upload that cannot be here in time is refused while it can still go to another server.
    ///
    /// # Errors
    ///
    /// Returns the final [`Refusal`]; the request did not run.
    pub fn consider_upload(
        &self,
        request: &GuardRequest,
        link: &LinkBacklog,
        now: Duration,
        rng: &mut (impl Rng + ?Sized),
    ) -> Result<(), Refusal> {
        match self.upload_refusal_reason(request, link, now) {
            Some(reason) => Err(self.refuse_offer(request, reason, now, rng)),
            None => Ok(()),
        }
    }

    /// Returns why an upload is not worth receiving, or `None` if it is.
    fn upload_refusal_reason(
        &self,
        request: &GuardRequest,
        link: &LinkBacklog,
        now: Duration,
    ) -> Option<RefusalReason> {
        let link_time = link.wait + link.transfer_time;
        let at_server = GuardRequest {
            deadline: request.deadline.saturating_sub(link_time),
            goal: request.goal.map(|goal| goal.saturating_sub(link_time)),
            ..*request
        };
        let service = self.service_time(request, now);
        let is_full = self.running_count() + link.pending >= self.slots(now);
        match request.max_wait {
            _ if let Some(reason) = self.refusal_reason(&at_server, now) => Some(reason),
            _ if self.has_reached_rate(link.pending, now) => Some(RefusalReason::RateLimited),
            Some(max_wait) if link.wait > max_wait || (is_full && max_wait.is_zero()) => {
                Some(RefusalReason::Busy)
            }
            _ if misses_goal(request, link.wait, link.transfer_time + service, now) => {
                Some(RefusalReason::GoalMissed)
            }
            _ => None,
        }
    }
}
