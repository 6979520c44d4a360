/** Public exports of `@quetzalreel/model`. */
export {};
