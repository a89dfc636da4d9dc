//! The distance of data centres, and the penalty that it adds to the score of a target.
//!
//! Addresses demand that differs between data centres and changes within seconds: one data centre
//! gets more requests than its targets can answer while others have room. With a constant penalty,
//! requests leave only when they find all targets at home full or late.
//!
//! Where the network delays are configured and targets report their speed, the penalty is the delay
//! plus a price for the narrow links between data centres. As the own data centre fills up, a growing
//! share of the requests is exempt from the price. If all paid the same, they would leave and return
//! together, and the load would oscillate. Requests are exempt only towards data centres that are
//! clearly less full, so that two of them do not exchange requests.

use std::collections::BTreeMap;
use std::time::Duration;

use utils::Name;

use super::config::Delays;

/// Added to the score of a target in another region, since links between regions are expensive and
/// narrow.
const OTHER_REGION_PENALTY: Duration = Duration::from_millis(60);

/// Added to the score of a target in another data centre of the same region.
const OTHER_DATA_CENTRE_PENALTY: Duration = Duration::from_millis(25);

/// Price of the links to another region, where the penalty depends on the load. With 60 ms, errors of
/// the expected response times sent up to 16 % of the requests away at half of the load.
const OTHER_REGION_PRICE: Duration = Duration::from_millis(250);

/// Price of the links to another data centre of the same region.
const OTHER_DATA_CENTRE_PRICE: Duration = Duration::from_millis(100);

/// How often a request and its first event cross the network.
const REQUEST_CROSSINGS: u32 = 2;

/// How often a reservation request and its reply cross the network.
const RESERVATION_CROSSINGS: u32 = 2;

/// How long a target's report of its speed shows that the targets of its service report it.
const SPEED_REPORT_TTL: Duration = Duration::from_secs(10);

/// Time constant of the average of the own utilization, which follows a change by 99 % within 0.9 s.
/// With 300 ms, and 0.5 for [`FULL_UTILIZATION_DIFFERENCE`], the share sent away changed its direction
/// once more after a change of demand.
const OWN_SMOOTHING_TIME: Duration = Duration::from_millis(200);

/// Time constant of the average of other data centres' utilization, of which less is known.
const OTHER_SMOOTHING_TIME: Duration = Duration::from_millis(500);

/// Utilization of the own data centre up to which all requests pay the price.
const MAX_UTILIZATION_AT_FULL_PRICE: f64 = 0.65;

/// The share of requests that do not pay the price when the own data centre is full. Others leave
/// only if no target at home can answer in time. With more than half, the load oscillates, since
/// slots stay taken for more than a second after requests go elsewhere.
const MAX_EXEMPT_SHARE: f64 = 0.5;

/// How much fuller than another data centre the own one must be before the price falls. Two data
/// centres cannot both be fuller than the other by this.
const MIN_UTILIZATION_DIFFERENCE: f64 = 0.1;

/// The difference in utilization from which the price depends on the own utilization alone. Requests
/// that leave fill the other data centre, so the load oscillates if this is close to the minimum.
const FULL_UTILIZATION_DIFFERENCE: f64 = 0.6;

/// Weight of the assumption that another data centre is empty, in reports of targets there. It
/// decides only some seconds after the last report, and lets requests find out then.
const UNKNOWN_WEIGHT: f64 = 0.1;

/// The location of this process, and the regions of all data centres.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// Its data centre.
    pub data_centre: Name,
    /// The region of each data centre.
    pub regions: BTreeMap<Name, Name>,
}

/// The distance of a data centre from this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Distance {
    SameDataCentre,
    SameRegion,
    OtherRegion,
}

impl Location {
    /// The region of a data centre.
    pub fn region_of(&self, data_centre: &str) -> Option<&Name> {
        self.regions.get(data_centre)
    }

    /// How far away a data centre is.
    pub(super) fn distance(&self, data_centre: &str) -> Distance {
        if *data_centre == *self.data_centre {
            Distance::SameDataCentre
        } else if self.region_of(data_centre) == self.region_of(&self.data_centre) {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }

    /// The penalty without regard to delays and load.
    pub(super) fn constant_penalty(&self, data_centre: &str) -> Duration {
        match self.distance(data_centre) {
            Distance::SameDataCentre => Duration::ZERO,
            Distance::SameRegion => OTHER_DATA_CENTRE_PENALTY,
            Distance::OtherRegion => OTHER_REGION_PENALTY,
        }
    }

    /// The price of the links to a data centre.
    fn price(&self, data_centre: &str) -> Duration {
        match self.distance(data_centre) {
            Distance::SameDataCentre => Duration::ZERO,
            Distance::SameRegion => OTHER_DATA_CENTRE_PRICE,
            Distance::OtherRegion => OTHER_REGION_PRICE,
        }
    }
}

/// Reports of the utilization of one data centre, older ones decayed exponentially.
#[derive(Clone, Copy, Debug, Default)]
struct Reports {
    sum: f64,
    count: f64,
    updated_at: Duration,
}

impl Reports {
    fn add(&mut self, now: Duration, utilization: f64) {
        let decay = decay(now.saturating_sub(self.updated_at), OTHER_SMOOTHING_TIME);
        self.sum = self.sum * decay + utilization;
        self.count = self.count * decay + 1.0;
        self.updated_at = now;
    }

    /// The mean utilization. Without recent reports it tends to zero.
    fn mean(&self, now: Duration) -> f64 {
        let decay = decay(now.saturating_sub(self.updated_at), OTHER_SMOOTHING_TIME);
        self.sum * decay / (self.count * decay + UNKNOWN_WEIGHT)
    }
}

/// What one process knows of the utilization of a service's targets, by data centre.
#[derive(Clone, Debug, Default)]
pub struct Spillover {
    /// When a target last reported its speed.
    speed_reported_at: Option<Duration>,
    /// The smoothed utilization of the own data centre, and when it was updated.
    own: Option<(f64, Duration)>,
    /// Reports of targets in other data centres.
    others: BTreeMap<Name, Reports>,
}

impl Spillover {
    /// Records that a target of the service reported its speed.
    pub fn record_speed_report(&mut self, now: Duration) {
        self.speed_reported_at = Some(now);
    }

    /// Whether a target of the service reported its speed recently.
    pub fn has_speed_report(&self, now: Duration) -> bool {
        let is_recent = |at: Duration| now.saturating_sub(at) < SPEED_REPORT_TTL;
        self.speed_reported_at.is_some_and(is_recent)
    }

    /// Records the utilization of a target in another data centre: the share of its slots that are
    /// taken, from zero to one.
    pub fn record_other(&mut self, now: Duration, data_centre: &Name, utilization: f64) {
        let reports = self.others.entry(data_centre.clone()).or_default();
        reports.add(now, utilization.clamp(0.0, 1.0));
    }

    /// Records the present utilization of the own data centre, from zero to one.
    pub fn record_own(&mut self, now: Duration, utilization: f64) {
        let smoothed = match self.own {
            Some((old, at)) => {
                let weight = decay(now.saturating_sub(at), OWN_SMOOTHING_TIME);
                old * weight + utilization * (1.0 - weight)
            }
            None => utilization,
        };
        self.own = Some((smoothed, now));
    }

    /// The share of requests that do not pay the price of the links to another data centre, from
    /// zero to one.
    fn exempt_share(&self, now: Duration, data_centre: &str) -> f64 {
        let own = self.own.map_or(0.0, |(utilization, _)| utilization);
        let other = self.others.get(data_centre).map_or(0.0, |r| r.mean(now));
        let fullness = ramp(own, MAX_UTILIZATION_AT_FULL_PRICE, 1.0);
        let difference = ramp(
            own - other,
            MIN_UTILIZATION_DIFFERENCE,
            FULL_UTILIZATION_DIFFERENCE,
        );
        MAX_EXEMPT_SHARE * fullness * difference
    }
}

/// The penalties of data centres for one request.
#[derive(Debug)]
pub(super) struct Penalties<'a> {
    now: Duration,
    location: &'a Location,
    /// `None` if the delays are not configured.
    delays: Option<&'a BTreeMap<Name, Duration>>,
    spillover: &'a Spillover,
    crossings: u32,
    /// From zero to one. The request is exempt from a price if it is below the share that is.
    random: f64,
    /// The penalties that are known already. There are few data centres and many targets.
    known: Vec<(&'a str, Duration)>,
}

impl<'a> Penalties<'a> {
    /// The penalties at `now`. A request that is reserved with an agent crosses the network more
    /// often. `random` returns a number from zero to one; it is called only if the penalties depend
    /// on the load.
    pub(super) fn new(
        now: Duration,
        location: &'a Location,
        delays: &'a Delays,
        spillover: &'a Spillover,
        is_reserved: bool,
        random: impl FnOnce() -> f64,
    ) -> Self {
        let delays = delays
            .from(&location.data_centre)
            .filter(|_| spillover.has_speed_report(now));
        let reservation = if is_reserved {
            RESERVATION_CROSSINGS
        } else {
            0
        };
        Self {
            now,
            location,
            random: delays.map_or(0.0, |_| random()),
            delays,
            spillover,
            crossings: REQUEST_CROSSINGS + reservation,
            known: Vec::new(),
        }
    }

    /// Whether penalties depend on the utilization of the own data centre.
    pub(super) fn depend_on_load(&self) -> bool {
        self.delays.is_some()
    }

    /// Added to the score of a target in a data centre.
    pub(super) fn of(&mut self, data_centre: &'a str) -> Duration {
        let known = self.known.iter().find(|(name, _)| *name == data_centre);
        if let Some((_, penalty)) = known {
            return *penalty;
        }
        let penalty = self.compute(data_centre);
        self.known.push((data_centre, penalty));
        penalty
    }

    fn compute(&self, data_centre: &str) -> Duration {
        match self.delays.and_then(|delays| delays.get(data_centre)) {
            Some(delay) => {
                let is_exempt = self.random < self.spillover.exempt_share(self.now, data_centre);
                let price = Some(self.location.price(data_centre)).filter(|_| !is_exempt);
                *delay * self.crossings + price.unwrap_or_default()
            }
            None => self.location.constant_penalty(data_centre),
        }
    }
}

/// Counts taken slots of the targets in a data centre.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SlotCount {
    taken: f64,
    all: f64,
}

impl SlotCount {
    /// Adds a target.
    pub(super) fn add(&mut self, requests: f64, slots: u32) {
        let slots = f64::from(slots);
        self.taken += requests.min(slots);
        self.all += slots;
    }

    /// The share of slots that are taken. Without slots there is no room.
    pub(super) fn utilization(&self) -> f64 {
        if self.all > 0.0 {
            self.taken / self.all
        } else {
            1.0
        }
    }
}

/// The weight of a value after `elapsed`, from one to zero.
fn decay(elapsed: Duration, time_constant: Duration) -> f64 {
    (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}

/// Rises from zero at `low` to one at `high`.
fn ramp(value: f64, low: f64, high: f64) -> f64 {
    ((value - low) / (high - low)).clamp(0.0, 1.0)
}
