//! Plans which upstreams to start or stop, given the demand and the spend limits.

/// Demand, running upstreams, prices and spend limits of one service in one failure domain. Standing upstreams are
/// those that the platform cannot reclaim.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpendInput {
    /// Number of upstreams that should run.
    pub wanted: u32,
    /// Minimum number of standing upstreams.
    pub standing_min: u32,
    /// Number of standing upstreams that are running or starting.
    pub standing: u32,
    /// Number of reclaimable upstreams that are running or starting.
    pub reclaimable: u32,
    /// Whether the platform has reclaimable upstreams available.
    pub reclaimable_available: bool,
    /// Price of one standing upstream.
    pub standing_cents_per_hour: u64,
    /// Price of one reclaimable upstream.
    pub reclaimable_cents_per_hour: u64,
    /// Minimum spend, which is charged even if it is not used.
    pub floor_cents_per_hour: u64,
    /// Maximum spend.
    pub ceiling_cents_per_hour: u64,
    /// Number of consecutive planner ticks in which more upstreams ran than were wanted.
    pub surplus_ticks: u32,
}

/// Next action of the planner; at most one upstream is started or stopped at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpendAction {
    /// Start one standing upstream.
    StartStanding,
    /// Start one reclaimable upstream.
    StartReclaimable,
    /// Stop one standing upstream.
    StopStanding,
    /// Stop one reclaimable upstream.
    StopReclaimable,
    /// Change nothing.
    Keep,
}

/// Consecutive ticks with a surplus before an upstream is stopped. The delay avoids repeated starts and stops, which
/// cost money.
const SURPLUS_TICKS_MIN: u32 = 5;

/// Stateless planner of upstream starts and stops.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpendPlanner;

impl SpendPlanner {
    /// Spend of the running upstreams, in cents per hour.
    #[must_use]
    pub fn current_spend(input: &SpendInput) -> u64 {
        u64::from(input.standing) * input.standing_cents_per_hour
            + u64::from(input.reclaimable) * input.reclaimable_cents_per_hour
    }

    /// Next action. Starts standing upstreams until their minimum and the minimum spend are reached, then reclaimable
    /// ones, or standing ones if no reclaimable ones are available. Starts nothing that would exceed the maximum spend.
    /// Stops an upstream if there has been a surplus for several ticks.
    #[must_use]
    pub fn next_action(self, input: &SpendInput) -> SpendAction {
        let spend = Self::current_spend(input);
        let is_within_ceiling = |price: u64| spend + price <= input.ceiling_cents_per_hour;
        let is_within_floor = spend + input.standing_cents_per_hour <= input.floor_cents_per_hour;
        let running = input.standing + input.reclaimable;
        if (input.standing < input.standing_min || is_within_floor) && is_within_ceiling(input.standing_cents_per_hour)
        {
            return SpendAction::StartStanding;
        }
        if running < input.wanted {
            if input.reclaimable_available && is_within_ceiling(input.reclaimable_cents_per_hour) {
                return SpendAction::StartReclaimable;
            }
            if !input.reclaimable_available && is_within_ceiling(input.standing_cents_per_hour) {
                return SpendAction::StartStanding;
            }
            return SpendAction::Keep;
        }
        if running > input.wanted && input.surplus_ticks >= SURPLUS_TICKS_MIN {
            return Self::surplus_action(input, spend);
        }
        SpendAction::Keep
    }

    /// Action for a surplus: stops reclaimable upstreams first, and standing ones only while the spend stays at or
    /// above the minimum.
    fn surplus_action(input: &SpendInput, spend: u64) -> SpendAction {
        if input.reclaimable > 0 {
            return SpendAction::StopReclaimable;
        }
        let stays_above_floor = spend.saturating_sub(input.standing_cents_per_hour) >= input.floor_cents_per_hour;
        if input.standing > input.standing_min && stays_above_floor {
            return SpendAction::StopStanding;
        }
        SpendAction::Keep
    }
}
