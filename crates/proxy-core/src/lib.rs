//! What every host of the decision module on sockets needs, whatever protocol it speaks: hits that are open and
//! forwards that end once (`open`), connections kept to pods (`kept`), who may have how many descriptors
//! (`room`), when a lost service is asked again (`again`), the clock (`clock`), how a process
//! that is told to leave goes (`shutdown`), permission to write an attempt to its pod (`permit`). Nothing is decided here.

pub mod again;
pub mod clock;
pub mod kept;
pub mod open;
pub mod permit;
pub mod room;
pub mod shutdown;
