//! Decides which upstreams to order and to stop.

/// What a failure domain runs and needs for one service. Rates are in thousandths of a currency unit an hour.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpendInput {
    /// Upstreams needed by the present load.
    pub wanted: u32,
    /// Upstreams that must stay on the kind that cannot be reclaimed.
    pub standing_min: u32,
    /// Running upstreams that cannot be reclaimed.
    pub standing: u32,
    /// Running upstreams that can be reclaimed.
    pub reclaimable: u32,
    /// Whether the reclaimable kind can be had.
    pub reclaimable_available: bool,
    /// Price of one that cannot be reclaimed.
    pub standing_cents_per_hour: u64,
    /// Price of one that can.
    pub reclaimable_cents_per_hour: u64,
    /// Minimum spend, owed whether used or not.
    pub floor_cents_per_hour: u64,
    /// Most that may be spent.
    pub ceiling_cents_per_hour: u64,
    /// Rounds in a row in which fewer were wanted than run.
    pub surplus_ticks: u32,
}

/// One step of the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpendAction {
    /// Order one that cannot be reclaimed.
    StartStanding,
    /// Order one that can.
    StartReclaimable,
    /// Stop one that cannot be reclaimed.
    StopStanding,
    /// Stop one that can.
    StopReclaimable,
    /// Leave things as they are.
    Keep,
}

/// Rounds of surplus before an upstream is stopped, since starts and stops cost money.
const SURPLUS_ROUNDS: u32 = 5;

/// The pure planner.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpendPlanner;

impl SpendPlanner {
    /// Spend of what runs.
    #[must_use]
    pub fn current_spend(input: &SpendInput) -> u64 {
        u64::from(input.standing) * input.standing_cents_per_hour
            + u64::from(input.reclaimable) * input.reclaimable_cents_per_hour
    }

    /// The next step: the floor is filled first, then the cheaper kind, then the dearer, never past the ceiling.
    #[must_use]
    pub fn next_action(self, input: &SpendInput) -> SpendAction {
        let spend = Self::current_spend(input);
        let fits = |rate: u64| spend + rate <= input.ceiling_cents_per_hour;
        let within_floor = spend + input.standing_cents_per_hour <= input.floor_cents_per_hour;
        let running = input.standing + input.reclaimable;
        if (input.standing < input.standing_min || within_floor) && fits(input.standing_cents_per_hour) {
            return SpendAction::StartStanding;
        }
        if running < input.wanted {
            if input.reclaimable_available && fits(input.reclaimable_cents_per_hour) {
                return SpendAction::StartReclaimable;
            }
            if !input.reclaimable_available && fits(input.standing_cents_per_hour) {
                return SpendAction::StartStanding;
            }
            return SpendAction::Keep;
        }
        if running > input.wanted && input.surplus_ticks >= SURPLUS_ROUNDS {
            return Self::shrink(input, spend);
        }
        SpendAction::Keep
    }

    fn shrink(input: &SpendInput, spend: u64) -> SpendAction {
        if input.reclaimable > 0 {
            return SpendAction::StopReclaimable;
        }
        let above_floor = spend.saturating_sub(input.standing_cents_per_hour) >= input.floor_cents_per_hour;
        if input.standing > input.standing_min && above_floor {
            return SpendAction::StopStanding;
        }
        SpendAction::Keep
    }
}
