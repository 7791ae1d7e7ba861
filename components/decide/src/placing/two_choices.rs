//! Drawing an endpoint: tier first, then the better of two.

use rand::{Rng, RngExt};

use crate::placing::{EndpointDistance, PlacementSettings};

/// An endpoint that may take the request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) index: usize,
    pub(super) distance: EndpointDistance,
    pub(super) effective_slots: f64,
    pub(super) in_flight: u32,
}

impl Candidate {
    fn load(&self) -> f64 {
        f64::from(self.in_flight) / self.effective_slots
    }
}

/// Picks a candidate and gives its index in the table, or none if there is no candidate.
pub(super) fn pick(
    candidates: &[Candidate],
    settings: &PlacementSettings,
    rng: &mut (impl Rng + ?Sized),
) -> Option<usize> {
    let tier = pick_tier(candidates, settings, rng)?;
    let first = draw_one(candidates, tier, None, rng)?;
    match draw_one(candidates, tier, Some(first.index), rng) {
        // On a tie the first draw stands: it was drawn by share, so an idle cold server is drawn
        // seldom and an idle warm one often.
        Some(second) if second.load() < first.load() => Some(second.index),
        _ => Some(first.index),
    }
}

/// Picks the nearest tier that is not loaded, or the least loaded one if all are.
fn pick_tier(
    candidates: &[Candidate],
    settings: &PlacementSettings,
    rng: &mut (impl Rng + ?Sized),
) -> Option<EndpointDistance> {
    let mut least: Option<(f64, EndpointDistance)> = None;
    for tier in EndpointDistance::ALL {
        let Some(load) = tier_load(candidates, tier) else { continue };
        if !rng.random_bool(spill_chance(load, settings)) {
            return Some(tier);
        }
        if least.is_none_or(|(lowest, _)| load < lowest) {
            least = Some((load, tier));
        }
    }
    least.map(|(_, tier)| tier)
}

/// Returns the portion of requests that leave a tier with this load.
fn spill_chance(load: f64, settings: &PlacementSettings) -> f64 {
    let width = (settings.spill_full - settings.spill_start).max(f64::EPSILON);
    ((load - settings.spill_start) / width).clamp(0.0, 1.0)
}

fn tier_load(candidates: &[Candidate], tier: EndpointDistance) -> Option<f64> {
    let (mut in_flight, mut effective_slots) = (0, 0.0);
    for candidate in of_tier(candidates, tier) {
        in_flight += candidate.in_flight;
        effective_slots += candidate.effective_slots;
    }
    (effective_slots > 0.0).then(|| f64::from(in_flight) / effective_slots)
}

/// Draws one candidate of a tier by share, leaving out one already drawn.
fn draw_one(
    candidates: &[Candidate],
    tier: EndpointDistance,
    drawn: Option<usize>,
    rng: &mut (impl Rng + ?Sized),
) -> Option<Candidate> {
    let remaining = || of_tier(candidates, tier).filter(|candidate| Some(candidate.index) != drawn);
    let total: f64 = remaining().map(|candidate| candidate.effective_slots).sum();
    let mut point = rng.random::<f64>() * total;
    let chosen = remaining().find(|candidate| {
        point -= candidate.effective_slots;
        point < 0.0
    });
    // Rounding can leave the point at the very end of the range.
    chosen.or_else(|| remaining().last()).copied()
}

fn of_tier(candidates: &[Candidate], tier: EndpointDistance) -> impl Iterator<Item = &Candidate> {
    candidates.iter().filter(move |candidate| candidate.distance == tier)
}
