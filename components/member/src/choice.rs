//! Choosing a few daemons for a task, the same everywhere without any agreement.

use sk_model::{ContentHash, ProxyId, content_hash};

use crate::MemberRecord;

/// Weighs a daemon for a task; every daemon computes the same weights.
pub fn rendezvous_weight(task: &str, proxy: &str) -> ContentHash {
    content_hash(format!("{task} {proxy}").as_bytes())
}

/// Chooses up to `most` present daemons of a data centre that watch the platform for it.
///
/// Daemons whose beliefs differ for a moment choose differently: more of them watch for that
/// moment, which is harmless.
pub fn choose_relays<'a>(
    records: impl Iterator<Item = &'a MemberRecord>,
    data_centre: &str,
    most: usize,
) -> Vec<ProxyId> {
    let mut weighed: Vec<(ContentHash, &ProxyId)> = records
        .filter(|record| record.data_centre == data_centre && record.is_present())
        .map(|record| (rendezvous_weight(data_centre, &record.proxy), &record.proxy))
        .collect();
    weighed.sort_unstable_by(|first, second| second.cmp(first));
    weighed.into_iter().take(most).map(|(_, proxy)| proxy.clone()).collect()
}
