//! A limit in bytes that several sources share, so that none of them can take all of it. No I/O.

use std::collections::BTreeMap;

/// Divisor of the limit that gives the most that one source may take.
const SOURCE_SHARE_DIVISOR: usize = 2;

/// The bytes that each source has taken of a limit.
#[derive(Debug)]
pub struct SharedLimit<Source> {
    limit: usize,
    taken: usize,
    by_source: BTreeMap<Source, usize>,
}

impl<Source: Ord> SharedLimit<Source> {
    /// Creates a limit of this many bytes, of which nothing is taken.
    pub fn new(limit: usize) -> Self {
        SharedLimit { limit, taken: 0, by_source: BTreeMap::new() }
    }

    /// Takes bytes for a source. Returns false, and takes nothing, if the limit or the share of the source is used up.
    pub fn try_take(&mut self, source: Source, bytes: usize) -> bool {
        let of_source = self.by_source.get(&source).copied().unwrap_or(0);
        let fits = self.taken + bytes <= self.limit;
        let fits_share = of_source + bytes <= self.limit / SOURCE_SHARE_DIVISOR;
        if bytes > 0 && fits && fits_share {
            self.taken += bytes;
            self.by_source.insert(source, of_source + bytes);
        }
        bytes == 0 || (fits && fits_share)
    }

    /// Gives bytes of a source back.
    pub fn give_back(&mut self, source: Source, bytes: usize) {
        let Some(of_source) = self.by_source.get_mut(&source) else { return };
        let returned = bytes.min(*of_source);
        *of_source -= returned;
        self.taken -= returned;
        if *of_source == 0 {
            self.by_source.remove(&source);
        }
    }

    /// Gives back all that a source has taken.
    pub fn forget(&mut self, source: &Source) {
        self.taken -= self.by_source.remove(source).unwrap_or(0);
    }

    /// Bytes that all sources together have taken.
    pub fn taken(&self) -> usize {
        self.taken
    }
}
