//! Rendezvous hashing with bounded load: a prefix keeps to the engine that
//! ranks first for it, until that one is at its limit.

/// An engine as the election sees it. Invariant: `index` is dense over the
/// engines handed in together.
#[derive(Clone, Copy)]
pub struct Candidate {
    pub index: usize,
    /// The engine's own number, drawn from its name.
    pub mark: u64,
    pub running: u32,
    /// The set point's share of its slots; 0 stands for an engine that is to
    /// get nothing.
    pub limit: u32,
    /// The place of its cell in the mapping; the serving cell is 0.
    pub tier: usize,
}

fn mix(mut value: u64) -> u64 {
    value ^= value >> 33;
    value = value.wrapping_mul(0xff51_afd7_ed55_8ccd);
    value ^= value >> 33;
    value = value.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    value ^ (value >> 33)
}

/// How high a member ranks for a key. All processes draw alike.
pub fn rank(key: u64, mark: u64) -> u64 {
    mix(mix(key) ^ mark)
}

/// Elects an engine: tier by tier, within a tier by rank, skipping those at
/// their limit. `None`: every one of them is.
pub fn select_engine(prefix: u64, candidates: &[Candidate]) -> Option<usize> {
    candidates
        .iter()
        .filter(|candidate| candidate.running < candidate.limit)
        .min_by_key(|candidate| (candidate.tier, u64::MAX - rank(prefix, candidate.mark)))
        .map(|candidate| candidate.index)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn candidate(index: usize, running: u32, limit: u32, tier: usize) -> Candidate {
        Candidate {
            index,
            mark: mix(index as u64 + 1),
            running,
            limit,
            tier,
        }
    }

    #[test]
    fn bounded_load_spills_by_rank_then_by_tier() {
        let first = |engines: &[Candidate]| select_engine(7, engines);
        let free: Vec<Candidate> = (0..4).map(|i| candidate(i, 0, 4, i / 2)).collect();
        let home = first(&free).expect("all are free");
        assert!(home < 2, "the serving cell goes first");
        let mut full = free.clone();
        full[home].running = 4;
        assert_eq!(
            first(&full),
            Some(1 - home),
            "the next in rank of the same cell"
        );
        full[1 - home].running = 4;
        let spill = first(&full).expect("the spill cell is free");
        assert!(spill >= 2);
        full.iter_mut().for_each(|engine| engine.limit = 0);
        assert_eq!(first(&full), None);
    }

    #[test]
    fn losing_an_engine_moves_only_its_own_prefixes() {
        let engines: Vec<Candidate> = (0..7).map(|i| candidate(i, 0, 4, 0)).collect();
        for prefix in 0..2000u64 {
            let before = select_engine(prefix, &engines).expect("all are free");
            let after = select_engine(prefix, &engines[..6]).expect("all are free");
            assert!(
                before == after || before == 6,
                "prefix {prefix} moved without need"
            );
        }
    }
}
