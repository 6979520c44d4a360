/** Public exports of `@quetzalreel/ctl`. */
export {};
