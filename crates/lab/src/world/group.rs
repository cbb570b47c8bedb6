//! A trunk group: circuits between two exchanges, used by both ends.

/// One group.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// Its ends, the lower exchange first.
    pub ends: [usize; 2],
    /// Circuits it was built with.
    pub size: u32,
    /// Circuits that work at present.
    pub working: u32,
    /// Circuits seized.
    pub used: u32,
    /// Set-ups that asked for circuits here, and those that found too few.
    pub asked: u64,
    /// The second of the two.
    pub blocked: u64,
}

impl Group {
    /// An idle group.
    pub fn new(ends: [usize; 2], size: u32) -> Self {
        Group { ends, size, working: size, used: 0, asked: 0, blocked: 0 }
    }

    /// Circuits that may be seized.
    pub fn free(&self) -> u32 {
        self.working.saturating_sub(self.used)
    }

    /// Seizes circuits, all or none.
    pub fn seize(&mut self, width: u32) -> bool {
        self.asked += 1;
        let fits = width <= self.free();
        if fits {
            self.used += width;
        } else {
            self.blocked += 1;
        }
        fits
    }

    /// Gives circuits back.
    pub fn release(&mut self, width: u32) {
        self.used = self.used.saturating_sub(width);
    }

    /// Circuits in use that no longer work.
    pub fn lost(&self) -> u32 {
        self.used.saturating_sub(self.working)
    }
}
