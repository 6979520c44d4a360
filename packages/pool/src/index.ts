/** Public exports of `@quetzalreel/pool`. */
export {};
