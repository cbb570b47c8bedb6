//! A trunk group: circuits between two exchanges that both ends seize.

/// A trunk group.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// The exchanges at its ends, the lower number first.
    pub ends: [usize; 2],
    /// Circuits installed.
    pub size: u32,
    /// Circuits in working order now.
    pub working: u32,
    /// Circuits seized.
    pub used: u32,
    /// Set-ups that asked for circuits.
    pub offered: u64,
    /// Set-ups that found too few free circuits.
    pub blocked: u64,
}

impl Group {
    /// An idle group.
    pub fn new(ends: [usize; 2], size: u32) -> Self {
        Group { ends, size, working: size, used: 0, offered: 0, blocked: 0 }
    }

    /// Circuits that may be seized.
    pub fn free(&self) -> u32 {
        self.working.saturating_sub(self.used)
    }

    /// Seizes `width` circuits, or none if fewer are free.
    pub fn seize(&mut self, width: u32) -> bool {
        self.offered += 1;
        let fits = width <= self.free();
        if fits {
            self.used += width;
        } else {
            self.blocked += 1;
        }
        fits
    }

    /// Releases circuits.
    pub fn release(&mut self, width: u32) {
        self.used = self.used.saturating_sub(width);
    }

    /// Seized circuits beyond the number in working order.
    pub fn excess(&self) -> u32 {
        self.used.saturating_sub(self.working)
    }
}
