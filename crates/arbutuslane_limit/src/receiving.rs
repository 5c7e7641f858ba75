//! Decides which request body is refused when the memory for bodies is used up.

/// Identifies a body that is being received.
pub type BodyId = u64;

/// The bodies that a process is receiving. None of them has been accepted yet.
///
/// When the memory is used up, the largest body gives way to a smaller one: whoever holds most goes
/// first, so that a crowd of clients whose bodies never end cannot keep out a short one.
///
/// ```
/// use arbutuslane_limit::receiving::Receiving;
///
/// let mut receiving = Receiving::default();
/// let (long, short) = (receiving.begin(), receiving.begin());
/// receiving.record(long, 1_000_000);
/// receiving.record(short, 1_000);
/// assert_eq!(receiving.choose(long, 1_100_000), None);
/// assert_eq!(receiving.choose(short, 2_000), Some(long));
/// assert_eq!(receiving.choose(short, 2_000), None, "it has been chosen before");
/// ```
#[derive(Debug, Default)]
pub struct Receiving {
    next_id: BodyId,
    /// Sorted by id.
    bodies: Vec<Body>,
}

#[derive(Debug)]
struct Body {
    id: BodyId,
    bytes: usize,
    gives_way: bool,
}

impl Receiving {
    /// Adds a body of which nothing has arrived.
    pub fn begin(&mut self) -> BodyId {
        let id = self.next_id;
        self.next_id += 1;
        self.bodies.push(Body { id, bytes: 0, gives_way: false });
        id
    }

    /// Records that `bytes` of a body are held.
    pub fn record(&mut self, id: BodyId, bytes: usize) {
        if let Ok(index) = self.find(id) {
            self.bodies[index].bytes = bytes;
        }
    }

    /// Removes a body that was received, or whose request has ended.
    pub fn end(&mut self, id: BodyId) {
        if let Ok(index) = self.find(id) {
            self.bodies.remove(index);
        }
    }

    /// Returns whether a body is still being received.
    pub fn contains(&self, id: BodyId) -> bool {
        self.find(id).is_ok()
    }

    /// Returns whether a body gives way to another one.
    pub fn gives_way(&self, id: BodyId) -> bool {
        self.find(id).is_ok_and(|index| self.bodies[index].gives_way)
    }

    /// Chooses the body that gives way to the body `id`, which would hold `bytes`: the largest one
    /// that is larger than that, and the oldest of several.
    pub fn choose(&mut self, id: BodyId, bytes: usize) -> Option<BodyId> {
        let others = self.bodies.iter_mut().filter(|body| body.id != id && !body.gives_way);
        let larger = others.filter(|body| body.bytes > bytes);
        let chosen = larger.max_by_key(|body| (body.bytes, std::cmp::Reverse(body.id)))?;
        chosen.gives_way = true;
        Some(chosen.id)
    }

    fn find(&self, id: BodyId) -> Result<usize, usize> {
        self.bodies.binary_search_by_key(&id, |body| body.id)
    }
}
