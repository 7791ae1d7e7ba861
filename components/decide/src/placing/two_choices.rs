//! Drawing an endpoint: first its distance, then the less loaded of two endpoints drawn at random.

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
    /// Returns the requests in flight per slot counted on.
    fn load(&self) -> f64 {
        f64::from(self.in_flight) / self.effective_slots
    }
}

/// Picks a candidate and returns its index in the table, or `None` if there is no candidate.
pub(super) fn pick(
    candidates: &[Candidate],
    settings: &PlacementSettings,
    rng: &mut (impl Rng + ?Sized),
) -> Option<usize> {
    let distance = pick_distance(candidates, settings, rng)?;
    let first = draw_one(candidates, distance, None, rng)?;
    match draw_one(candidates, distance, Some(first.index), rng) {
        // On a tie the first draw stands: it was drawn in proportion to the slots, so an idle cold
        // server is chosen seldom and an idle warm one often.
        Some(second) if second.load() < first.load() => Some(second.index),
        _ => Some(first.index),
    }
}

/// Picks the nearest distance whose endpoints are not loaded, or the least loaded one if all are.
/// Between the two spill settings chance decides.
fn pick_distance(
    candidates: &[Candidate],
    settings: &PlacementSettings,
    rng: &mut (impl Rng + ?Sized),
) -> Option<EndpointDistance> {
    let mut least: Option<(f64, EndpointDistance)> = None;
    for distance in EndpointDistance::ALL {
        let Some(load) = load_at(candidates, distance) else { continue };
        if !rng.random_bool(spill_chance(load, settings)) {
            return Some(distance);
        }
        if least.is_none_or(|(lowest, _)| load < lowest) {
            least = Some((load, distance));
        }
    }
    least.map(|(_, distance)| distance)
}

/// Returns the fraction of requests that leave a distance with this load.
fn spill_chance(load: f64, settings: &PlacementSettings) -> f64 {
    let width = (settings.spill_full - settings.spill_start).max(f64::EPSILON);
    ((load - settings.spill_start) / width).clamp(0.0, 1.0)
}

/// Returns the requests in flight per slot at one distance, or `None` without slots.
fn load_at(candidates: &[Candidate], distance: EndpointDistance) -> Option<f64> {
    let (mut in_flight, mut effective_slots) = (0, 0.0);
    for candidate in at_distance(candidates, distance) {
        in_flight += candidate.in_flight;
        effective_slots += candidate.effective_slots;
    }
    (effective_slots > 0.0).then(|| f64::from(in_flight) / effective_slots)
}

/// Draws one candidate at a distance in proportion to the slots, leaving out one already drawn.
fn draw_one(
    candidates: &[Candidate],
    distance: EndpointDistance,
    drawn: Option<usize>,
    rng: &mut (impl Rng + ?Sized),
) -> Option<Candidate> {
    let remaining =
        || at_distance(candidates, distance).filter(|candidate| Some(candidate.index) != drawn);
    let total: f64 = remaining().map(|candidate| candidate.effective_slots).sum();
    let mut point = rng.random::<f64>() * total;
    let chosen = remaining().find(|candidate| {
        point -= candidate.effective_slots;
        point < 0.0
    });
    // Rounding can leave the point at the very end of the range.
    chosen.or_else(|| remaining().last()).copied()
}

fn at_distance(
    candidates: &[Candidate],
    distance: EndpointDistance,
) -> impl Iterator<Item = &Candidate> {
    candidates.iter().filter(move |candidate| candidate.distance == distance)
}
